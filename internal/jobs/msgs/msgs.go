// Package msgs defines the messages that entries and agents exchange over
// persistent connections: to find the leader, to renew leases, to order the start
// and stop of runs and report their ends, and to forward callers' requests to the
// leading entry.
//
// A connection carries Messages in both directions. Lost messages are not sent
// again. Instead, the agent sends its complete state after it reconnects.
package msgs
