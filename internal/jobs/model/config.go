package model

import "strings"

// Config is the operator's whole configuration. The zero value stands for a
// configuration that was never published.
type Config struct {
	_ struct{} `cbor:",toarray"`
	// Version increases with each publication, not necessarily by 1.
	Version int64
	Queues  []Queue
	// MaxBody is the maximum size of a request's body in bytes; 0 means unlimited.
	MaxBody int64
}

// Route returns the queue of host with the longest prefix that path begins with,
// or nil if there is none. The host is compared without regard to case.
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

// Queue returns the queue with the given name, or nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
