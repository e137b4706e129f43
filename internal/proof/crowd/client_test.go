//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// sendTimeout is how long a client of a crowd tries to send: a process that limits what it
	// reads doesn't read everything.
	sendTimeout = 8 * time.Second
	// callTimeout is how long an ordinary caller waits for its response.
	callTimeout = 3 * time.Second
)

// crowd holds the connections of clients that don't keep to the interface.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// newCrowd returns a crowd that leaves at the end of the spec at the latest.
func newCrowd() *crowd {
	c := &crowd{}
	DeferCleanup(c.leave)
	return c
}

// join runs n clients at the same time and returns once all have sent what they do. Each has a
// connection of its own, which stays open. A client whose connection fails goes.
func (c *crowd) join(n int, addr netip.AddrPort, send func(w io.Writer, i int) error) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr.String(), sendTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = send(conn, i) // an error means that the process refuses to read on
		})
	}
	wg.Wait()
}

// leave closes all connections at once.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// header returns the beginning of a request with further header lines.
func header(method, path, host string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n",
		method, path, host, strings.Join(lines, "\r\n"))
}

func announced(size int) string { return fmt.Sprintf("Content-Length: %d", size) }

const chunked = "Transfer-Encoding: chunked"

// chunksOf returns data as chunks of a chunked body, without its end.
func chunksOf(data []byte, size int) []byte {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return b.Bytes()
}

// inPieces writes data in pieces.
func inPieces(w io.Writer, data []byte, size int) error {
	for len(data) > 0 {
		n, err := w.Write(data[:min(size, len(data))])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// call sends an ordinary request on a new connection. It returns the status and the body of the
// response, or status 0 if there is none.
func call(method string, addr netip.AddrPort, host, path, body string, headers ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = host
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// expectStatus repeats a call, each time on a new connection, until it has the status.
func expectStatus(want int, call func() (int, string)) {
	GinkgoHelper()
	var text string
	Eventually(func() (status int) {
		status, text = call()
		return status
	}, patience, "100ms").Should(Equal(want), "latest response: %s", &text)
}
