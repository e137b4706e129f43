package world

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/front/gate"
	"github.com/ebonyarch/ebonyarch/internal/node/host"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// VM is a simulated VM with an agent, whose process is Proc, and a worker.
type VM struct {
	*Proc
	Host   *host.Host
	Worker *worker.Worker
	world  *World
	addr   netip.AddrPort
	index  int
	// heartbeatPending is set while a heartbeat has neither a reply nor timed out.
	heartbeatPending bool
	// LeavingSince is the time of the call to Leave, or zero.
	LeavingSince time.Time
}

// VMCapacity returns the capacity of each VM.
func VMCapacity() *schema.Size { return &schema.Size{CpuMilli: 8000, MemoryMb: 16 << 10} }

// AddVM adds a VM and starts its agent and worker.
func (w *World) AddVM() *VM {
	i := len(w.VMs)
	v := &VM{Proc: &Proc{Name: fmt.Sprintf("vm-%d", i+1)}, world: w, index: i}
	v.addr = w.newAddr(v)
	w.VMs = append(w.VMs, v)
	v.newWorker()
	v.start()
	return v
}

func (v *VM) newWorker() {
	v.Worker = worker.New(worker.Config{
		VM: v.Name, Capacity: VMCapacity(), ServiceTime: serviceTime, Witness: v.world.Witness, UsageLag: usageLag,
		Now: func() time.Time { return v.world.Now },
	})
}

func (v *VM) start() {
	w := v.world
	entries := make([]netip.AddrPort, 0, len(w.Entries))
	for i := range w.Entries {
		entries = append(entries, w.Entries[(i+v.index)%len(w.Entries)].addr)
	}
	v.heartbeatPending = false
	v.Host = host.New(w.clock(v.Proc), host.Config{Entries: entries, Member: &schema.Member{
		Vm: v.Name, Addr: v.addr.String(), Cell: "main", Zone: zone(v.index), Rack: fmt.Sprintf("rack-%d", v.index/2),
		Capacity: VMCapacity(), Connections: 64,
	}})
	if w.reachStep(Announce, v.Proc) {
		return
	}
	w.runAfter(v.Proc, 0, v.cycle)
	w.runEvery(v.Proc, heartbeatInterval, v.cycle)
	w.runEvery(v.Proc, 5*time.Millisecond, v.expire)
}

// Kill kills the agent. The worker keeps running its attempts until their leases
// expire.
func (v *VM) Kill() { v.Dead = true }

// Fail kills the agent and the worker with everything that runs on the VM.
func (v *VM) Fail() {
	v.Dead = true
	v.Worker.Kill()
}

// Restart starts a dead agent as a new incarnation. If fresh is set, the VM gets a
// new worker, too.
func (v *VM) Restart(fresh bool) {
	if !v.Dead {
		return
	}
	v.Dead = false
	v.incarnation++
	v.pausedUntil, v.clockRate, v.LeavingSince = time.Time{}, 0, time.Time{}
	if fresh {
		v.newWorker()
	}
	v.start()
}

// Leave tells the VM to drain and leave.
func (v *VM) Leave() {
	if v.world.reachStep(Drain, v.Proc) || v.Dead {
		return
	}
	v.LeavingSince = v.world.Now
	v.Host.Leave()
	v.cycle()
}

func (v *VM) clock() time.Time { return v.world.clock(v.Proc) }

// cycle is one round of the agent: it lists the worker's attempts, throttles batch
// attempts that slow services down, and sends a heartbeat, whose reply leads to
// stops and starts of attempts.
func (v *VM) cycle() {
	if v.heartbeatPending {
		return
	}
	if tasks, err := v.Worker.List(context.Background()); err == nil {
		v.Host.Listed(v.clock(), tasks)
	}
	for _, t := range v.Host.ProtectServices(v.clock()) {
		_ = v.Worker.Throttle(context.Background(), t.Attempt.Ref(), t.Percent)
	}
	v.sendHeartbeat()
}

func (v *VM) sendHeartbeat() {
	w := v.world
	sent := v.clock()
	req, to := v.Host.NextHeartbeat(sent)
	entry, ok := w.addrs[to].(*Entry)
	if req == nil || !ok {
		return
	}
	v.heartbeatPending = true
	if w.reachStep(Renew, v.Proc) {
		return
	}
	call(w, v.Proc, entry.Proc, callTimeout, func(reply func(*schema.BeatReply)) {
		reply(entry.Core.Beat(entry.clock(), req))
		entry.appendPending()
	}, func(reply *schema.BeatReply) {
		v.heartbeatPending = false
		if reply == nil {
			v.Host.HeartbeatFailed(to)
			return
		}
		lease, again := v.Host.Replied(v.clock(), sent, reply)
		if lease > 0 {
			_ = v.Worker.Renew(context.Background(), lease)
		}
		v.runActions()
		if again {
			v.cycle()
		}
	})
}

// runActions stops and starts attempts at the worker as the agent decides.
func (v *VM) runActions() {
	stops, starts := v.Host.Runner.Actions(v.clock())
	for _, s := range stops {
		if s.Mode == port.Checkpoint && (v.world.reachStep(Evict, v.Proc) || v.world.reachStep(Checkpoint, v.Proc)) {
			return
		}
		token, err := v.Worker.Stop(context.Background(), s.Attempt.Ref(), s.Mode)
		v.Host.Runner.Stopped(s.Attempt, token, err)
	}
	for _, s := range starts {
		if v.world.reachStep(Start, v.Proc) {
			return
		}
		if len(s.Assignment.GetCheckpoint()) > 0 && v.world.reachStep(Resume, v.Proc) {
			return
		}
		v.checkNotLeaving(s.Assignment)
		err := v.Worker.Start(context.Background(), s.Assignment, s.Lease)
		v.Host.Runner.Started(ident.AttemptOf(s.Assignment.GetTask()), errors.Is(err, port.ErrRefused), err)
	}
	if len(stops)+len(starts) > 0 {
		v.world.runAfter(v.Proc, oneWayDelay, v.cycle)
	}
}

// leaveGrace is how long a VM may still start attempts after it was told to leave.
const leaveGrace = 5 * time.Second

// checkNotLeaving records a violation if the VM starts an attempt more than
// leaveGrace after it was told to leave.
func (v *VM) checkNotLeaving(a *schema.Assignment) {
	if !v.LeavingSince.IsZero() && v.world.Now.Sub(v.LeavingSince) > leaveGrace {
		v.world.History.addViolation("%s: attempt %s started although the VM is leaving",
			v.Name, ident.AttemptOf(a.GetTask()))
	}
}

// forwardCall is a request that an entry forwarded to the agent.
type forwardCall struct {
	req   *schema.ForwardRequest
	reply func(*schema.ForwardReply)
}

// forward admits a request as the agent does and serves it once it has a slot.
func (v *VM) forward(req *schema.ForwardRequest, reply func(*schema.ForwardReply)) {
	if v.world.reachStep(Forward, v.Proc) {
		return
	}
	deadline := v.clock().Add(time.Duration(req.GetTimeoutUs()) * time.Microsecond)
	slot, decision, err := v.Host.RequestSlot(v.clock(), req, deadline)
	if err != nil {
		reply(errorReply(req, err, slot.Load(0)))
		return
	}
	slot.Data = &forwardCall{req, reply}
	if decision == gate.Granted {
		v.serve(slot)
	}
}

// errorReply returns the reply to a request that ended with an error.
func errorReply(req *schema.ForwardRequest, err error, load *schema.Load) *schema.ForwardReply {
	code := codes.Of(err)
	ran := schema.Ran_RAN_UNKNOWN
	if code.Info().Ran == codes.RanNo {
		ran = schema.Ran_RAN_NO
	}
	return &schema.ForwardReply{Id: req.GetId(), Code: uint32(code), Ran: ran, Message: err.Error(), Load: load}
}

// serve runs a request that holds a slot.
func (v *VM) serve(slot *host.SlotRequest) {
	data := slot.Data.(*forwardCall)
	granted, err := slot.Start(v.clock())
	v.serveGranted(granted)
	if err != nil {
		data.reply(errorReply(data.req, err, slot.Load(0)))
		return
	}
	req := port.Request{
		ID: data.req.GetId(), Team: data.req.GetTeam(), Service: data.req.GetService(),
		Path: data.req.GetPath(), Body: data.req.GetBody(),
	}
	took, err := v.Worker.Admit(req)
	v.world.runAfter(v.Proc, took, func() {
		v.serveGranted(slot.Done(v.clock(), took))
		if v.world.reachStep(Answer, v.Proc) {
			return
		}
		if err != nil {
			code := codes.UpstreamFailed
			if errors.Is(err, port.ErrNotStarted) {
				code = codes.NoUpstream
			}
			data.reply(errorReply(data.req, codes.Wrap(err, code, "worker"), slot.Load(took)))
			return
		}
		resp := worker.Answer(req)
		data.reply(&schema.ForwardReply{
			Id: data.req.GetId(), Ran: schema.Ran_RAN_YES, Status: int32(resp.Status), Body: resp.Body,
			BodySize: int64(len(resp.Body)), Load: slot.Load(took),
		})
	})
}

func (v *VM) serveGranted(slots []*host.SlotRequest) {
	for _, slot := range slots {
		v.serve(slot)
	}
}

// expire refuses the queued requests whose deadline has passed.
func (v *VM) expire() {
	expired, granted := v.Host.Expire(v.clock())
	for _, slot := range expired {
		data := slot.Data.(*forwardCall)
		err := slot.Refuse(codes.New(codes.TimedOutNotRun, "the deadline passed in the queue"))
		data.reply(errorReply(data.req, err, slot.Load(0)))
	}
	v.serveGranted(granted)
}
