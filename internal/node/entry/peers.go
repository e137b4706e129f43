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
	// syncWait is how long a question for changed members waits for one.
	syncWait = time.Second
	// syncRetry spaces the questions to an entry that does not answer.
	syncRetry = 500 * time.Millisecond
	// scanPeers spaces the looks for entries that joined or left.
	scanPeers   = 250 * time.Millisecond
	peerTimeout = time.Second
)

// Beat implements schema.Entry.
func (e *Entry) Beat(_ context.Context, req *schema.BeatRequest) (*schema.BeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := e.core.Beat(time.Now(), req)
	e.notice()
	if len(req.GetResults()) > 0 {
		wake(e.ticks)
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
		changed := e.changed
		e.mu.Unlock()
		if len(reply.Members) > 0 || reply.Whole {
			return reply, nil
		}
		select {
		case <-changed:
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

// syncPeers follows the members that other entries know until ctx ends.
func (e *Entry) syncPeers(ctx context.Context) {
	following := map[netip.AddrPort]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := e.otherEntries()
		for addr := range wanted {
			if following[addr] != nil {
				continue
			}
			peerCtx, cancel := context.WithCancel(ctx)
			following[addr] = cancel
			e.done.Go(func() { e.follow(peerCtx, addr) })
		}
		for addr, cancel := range following {
			if !wanted[addr] {
				cancel()
				delete(following, addr)
			}
		}
		e.askPromises(ctx)
		sleep(ctx, scanPeers)
	}
}

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

// follow takes the changes of members from one entry.
func (e *Entry) follow(ctx context.Context, addr netip.AddrPort) {
	req := &schema.MembersRequest{WaitMs: syncWait.Milliseconds()}
	for ctx.Err() == nil {
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, syncWait+peerTimeout)
		reply, err := e.links.To(addr).Entry().Members(callCtx, req)
		cancel()
		if err != nil {
			sleep(ctx, syncRetry)
			continue
		}
		req.Since, req.Epoch = reply.GetVersion(), reply.GetEpoch()
		e.mu.Lock()
		e.core.MergePeerReply(time.Now(), asked, reply)
		e.notice()
		e.mu.Unlock()
	}
}

// askPromises asks the other entries for what this one needs to lead on while
// the log does not answer.
func (e *Entry) askPromises(ctx context.Context) {
	for _, cell := range e.cfg.Cells {
		e.mu.Lock()
		l := e.core.Leader(cell)
		missing, d := l.MissingPromises(time.Now())
		term := l.Term()
		own := e.core.Writer().ID()
		e.mu.Unlock()
		for _, w := range missing {
			e.askPromise(ctx, cell, term, own, w, d)
		}
	}
}

func (e *Entry) askPromise(ctx context.Context, cell string, term uint64, own string, w fold.Writer, d time.Duration) {
	addr, err := netip.ParseAddrPort(w.PeerAddr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := e.links.To(addr).Entry().Promise(ctx, &schema.PromiseRequest{
		Cell: cell, Term: term, Leader: own, ForMs: d.Milliseconds(),
	})
	if err != nil || !reply.GetGranted() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Leader(cell).PromiseGranted(time.Now(), w.ID)
}

// poke asks agents to send their next beat at once.
func (e *Entry) poke(pokes []core.Poke) {
	for _, p := range pokes {
		addr, err := netip.ParseAddrPort(p.Member.GetAddr())
		if err != nil {
			continue
		}
		e.done.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
			defer cancel()
			_, err := e.links.To(addr).Agent().Poke(ctx, p.Request)
			if err != nil {
				e.log.Debug("cannot poke", "vm", p.Member.GetVm(), "err", err)
			}
		})
	}
}
