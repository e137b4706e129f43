package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

const (
	// membersWait is how long another entry may hold a MembersRequest open while no
	// member changes.
	membersWait = time.Second
	// membersRetryDelay is the delay after a MembersRequest that failed.
	membersRetryDelay = 500 * time.Millisecond
	// peerScanInterval is the time between two checks for entries that joined or
	// left.
	peerScanInterval = 250 * time.Millisecond
	// peerTimeout is the timeout of a call to an entry or agent; for a MembersRequest,
	// membersWait is added.
	peerTimeout = time.Second
)

// Beat implements schema.Entry.
func (e *Entry) Beat(_ context.Context, req *schema.BeatRequest) (*schema.BeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := e.core.Beat(time.Now(), req)
	e.notifyMemberChange()
	if len(req.GetResults()) > 0 {
		wake(e.wakeTick)
	}
	return reply, nil
}

// Members implements schema.Entry.
func (e *Entry) Members(ctx context.Context, req *schema.MembersRequest) (*schema.MembersReply, error) {
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for {
		e.mu.Lock()
		reply := e.core.MembersSince(time.Now(), req)
		membersChanged := e.membersChanged
		e.mu.Unlock()
		if len(reply.Members) > 0 || reply.Whole {
			return reply, nil
		}
		select {
		case <-membersChanged:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Snapshot implements schema.Entry.
func (e *Entry) Snapshot(context.Context, *schema.SnapshotRequest) (*schema.SnapshotReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.core.Ready() {
		return &schema.SnapshotReply{}, nil
	}
	return &schema.SnapshotReply{Ready: true, State: e.core.Fold().Encode()}, nil
}

// Promise implements schema.Entry.
func (e *Entry) Promise(_ context.Context, req *schema.PromiseRequest) (*schema.PromiseReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.core.Leader(req.GetCell())
	if l == nil {
		return &schema.PromiseReply{}, nil
	}
	d := time.Duration(req.GetForMs()) * time.Millisecond
	return &schema.PromiseReply{Granted: l.Promise(time.Now(), req.GetLeader(), req.GetTerm(), d)}, nil
}

// syncPeers runs followMembers for each other entry, and requests the promises
// that this entry needs as a leader, until ctx ends.
func (e *Entry) syncPeers(ctx context.Context) {
	cancelFuncs := map[netip.AddrPort]context.CancelFunc{}
	for ctx.Err() == nil {
		peers := e.otherEntries()
		for addr := range peers {
			if cancelFuncs[addr] != nil {
				continue
			}
			peerCtx, cancel := context.WithCancel(ctx)
			cancelFuncs[addr] = cancel
			e.wg.Go(func() { e.followMembers(peerCtx, addr) })
		}
		for addr, cancel := range cancelFuncs {
			if !peers[addr] {
				cancel()
				delete(cancelFuncs, addr)
			}
		}
		e.requestPromises(ctx)
		sleep(ctx, peerScanInterval)
	}
}

// otherEntries returns the addresses of the other entries that the log lists.
func (e *Entry) otherEntries() map[netip.AddrPort]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := map[netip.AddrPort]bool{}
	for _, w := range e.core.Fold().Entries() {
		addr, err := netip.ParseAddrPort(w.PeerAddr)
		if err == nil && addr != e.PeerAddr() {
			others[addr] = true
		}
	}
	return others
}

// followMembers merges the member changes of the entry at addr until ctx ends.
func (e *Entry) followMembers(ctx context.Context, addr netip.AddrPort) {
	req := &schema.MembersRequest{WaitMs: membersWait.Milliseconds()}
	for ctx.Err() == nil {
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, membersWait+peerTimeout)
		reply, err := e.links.To(addr).Entry().Members(callCtx, req)
		cancel()
		if err != nil {
			sleep(ctx, membersRetryDelay)
			continue
		}
		req.Since, req.Epoch = reply.GetVersion(), reply.GetEpoch()
		e.mu.Lock()
		e.core.MergePeerReply(time.Now(), sentAt, reply)
		e.notifyMemberChange()
		e.mu.Unlock()
	}
}

// requestPromises requests promises from the other entries. With them, this entry
// may continue to lead a cell while the log does not respond.
func (e *Entry) requestPromises(ctx context.Context) {
	for _, cell := range e.cfg.Cells {
		e.mu.Lock()
		l := e.core.Leader(cell)
		missing, d := l.MissingPromises(time.Now())
		term := l.Term()
		writerID := e.core.Writer().ID()
		e.mu.Unlock()
		for _, peer := range missing {
			e.requestPromise(ctx, cell, term, writerID, peer, d)
		}
	}
}

// requestPromise requests a promise from one entry and records it if it was granted.
// d is how long the promise is to last.
func (e *Entry) requestPromise(ctx context.Context, cell string, term uint64, writerID string, peer fold.Writer, d time.Duration) {
	addr, err := netip.ParseAddrPort(peer.PeerAddr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.links.To(addr).Entry().Promise(ctx, &schema.PromiseRequest{
		Cell: cell, Term: term, Leader: writerID, ForMs: d.Milliseconds(),
	})
	if err != nil || !reply.GetGranted() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Leader(cell).PromiseGranted(time.Now(), peer.ID)
}

// sendPokes asks agents to send their next heartbeat at once.
func (e *Entry) sendPokes(pokes []core.Poke) {
	for _, p := range pokes {
		addr, err := netip.ParseAddrPort(p.Member.GetAddr())
		if err != nil {
			continue
		}
		e.wg.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
			defer cancel()
			_, err := e.links.To(addr).Agent().Poke(ctx, p.Request)
			if err != nil {
				e.log.Debug("cannot poke the agent", "vm", p.Member.GetVm(), "err", err)
			}
		})
	}
}
