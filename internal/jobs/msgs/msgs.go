// Package msgs defines what entries and agents tell each other over a kept
// connection: how to find the leader, leases, orders, ends, and callers'
// requests that one entry passes on to the leading one.
//
// A connection carries Messages in both directions. Lost messages are never
// repeated; after a reconnect the agent says all that it has.
package msgs
