package model

import "strings"

// Config is the operator's configuration as a whole. The zero value is a
// configuration that was never published.
type Config struct {
	_ struct{} `cbor:",toarray"`
	// Version increases with each publication, in uneven steps.
	Version int64
	Queues  []Queue
	// MaxBody bounds a request's body, in bytes; 0 is no bound.
	MaxBody int64
}

// Route returns the queue with the longest prefix of path, or nil.
func (c *Config) Route(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
