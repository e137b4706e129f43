package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

// clientOptions holds the flags of the commands that call an entry.
type clientOptions struct {
	*root
	addr   string
	output string
	author string
}

// clientOptions adds the flags to a command and returns the options that hold their
// values.
func (r *root) clientOptions(cmd *cobra.Command) *clientOptions {
	o := &clientOptions{root: r}
	cmd.PersistentFlags().StringVar(&o.addr, "entry", "127.0.0.1:8080", "address for callers of an entry")
	cmd.PersistentFlags().StringVarP(&o.output, "output", "o", "text", "format of the output: text or json")
	cmd.PersistentFlags().StringVar(&o.author, "author", os.Getenv("USER"), "author of the change, for the history")
	return o
}

// client returns a client of the entry that the flags name, or an error if a flag is
// invalid.
func (o *clientOptions) client() (*client.Client, error) {
	addr, err := netip.ParseAddrPort(o.addr)
	if err != nil {
		return nil, fmt.Errorf("%w: --entry: %v", errUsage, err)
	}
	if o.output != "text" && o.output != "json" {
		return nil, fmt.Errorf("%w: --output: want text or json, got %q", errUsage, o.output)
	}
	return &client.Client{Addr: addr}, nil
}

// call runs f with a client of the entry and prints the result, as JSON or by calling
// text. f gets a context that ends after client.DefaultTimeout.
func call[V any](o *clientOptions, f func(ctx context.Context, c *client.Client) (V, error), text func(V)) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), client.DefaultTimeout)
	defer cancel()
	v, err := f(ctx, c)
	if err != nil {
		return err
	}
	if o.output == "json" {
		enc := json.NewEncoder(o.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(v)
	return nil
}

func (r *root) stateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "state ADMIN-ADDRESS", Short: "Print the state of a process", Args: exactArgs(1, "administrative address"),
		RunE: func(_ *cobra.Command, args []string) error {
			o := &clientOptions{root: r, addr: args[0], output: "json"}
			return call(o, func(ctx context.Context, c *client.Client) (json.RawMessage, error) {
				return c.State(ctx)
			}, nil)
		},
	}
}
