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

// VM is a VM of a world: an agent and a worker.
type VM struct {
	*Proc
	Host   *host.Host
	Worker *worker.Worker
	world  *World
	addr   netip.AddrPort
	index  int
	// beating is set while a beat awaits its answer.
	beating bool
	// LeavingSince is when the VM was told to leave.
	LeavingSince time.Time
}

// VMCapacity is what each VM of a world has.
func VMCapacity() *schema.Size { return &schema.Size{CpuMilli: 8000, MemoryMb: 16 << 10} }

// AddVM adds a VM whose agent starts now.
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
	v.beating = false
	v.Host = host.New(w.clock(v.Proc), host.Config{Entries: entries, Member: &schema.Member{
		Vm: v.Name, Addr: v.addr.String(), Cell: "main", Zone: zone(v.index), Rack: fmt.Sprintf("rack-%d", v.index/2),
		Capacity: VMCapacity(), Connections: 64,
	}})
	if w.step(Announce, v.Proc) {
		return
	}
	w.on(v.Proc, 0, v.cycle)
	w.every(v.Proc, beatEvery, v.cycle)
	w.every(v.Proc, 5*time.Millisecond, v.expire)
}

// Kill ends the agent; the worker goes on until its leases end.
func (v *VM) Kill() { v.Dead = true }

// Fail ends the agent and everything that runs on the VM.
func (v *VM) Fail() {
	v.Dead = true
	v.Worker.Kill()
}

// Restart starts a dead agent, and with fresh the whole VM, anew.
func (v *VM) Restart(fresh bool) {
	if !v.Dead {
		return
	}
	v.Dead = false
	v.generation++
	v.pausedUntil, v.rate, v.LeavingSince = time.Time{}, 0, time.Time{}
	if fresh {
		v.newWorker()
	}
	v.start()
}

// Leave tells the VM to leave.
func (v *VM) Leave() {
	if v.world.step(Drain, v.Proc) || v.Dead {
		return
	}
	v.LeavingSince = v.world.Now
	v.Host.Leave()
	v.cycle()
}

func (v *VM) clock() time.Time { return v.world.clock(v.Proc) }

// cycle is one round of the agent: list, beat, act.
func (v *VM) cycle() {
	if v.beating {
		return
	}
	if tasks, err := v.Worker.List(context.Background()); err == nil {
		v.Host.Listed(v.clock(), tasks)
	}
	for _, t := range v.Host.ProtectServices(v.clock()) {
		_ = v.Worker.Throttle(context.Background(), t.Attempt.Ref(), t.Percent)
	}
	v.beat()
}

func (v *VM) beat() {
	w := v.world
	sent := v.clock()
	req, to := v.Host.NextHeartbeat(sent)
	entry, ok := w.addrs[to].(*Entry)
	if req == nil || !ok {
		return
	}
	v.beating = true
	if w.step(Renew, v.Proc) {
		return
	}
	call(w, v.Proc, entry.Proc, callTimeout, func(reply func(*schema.BeatReply)) {
		reply(entry.Core.Beat(entry.clock(), req))
		entry.pump()
	}, func(reply *schema.BeatReply) {
		v.beating = false
		if reply == nil {
			v.Host.HeartbeatFailed(to)
			return
		}
		lease, again := v.Host.Replied(v.clock(), sent, reply)
		if lease > 0 {
			_ = v.Worker.Renew(context.Background(), lease)
		}
		v.act()
		if again {
			v.cycle()
		}
	})
}

func (v *VM) act() {
	stops, starts := v.Host.Runner.Actions(v.clock())
	for _, s := range stops {
		if s.Mode == port.Checkpoint && (v.world.step(Evict, v.Proc) || v.world.step(Checkpoint, v.Proc)) {
			return
		}
		token, err := v.Worker.Stop(context.Background(), s.Attempt.Ref(), s.Mode)
		v.Host.Runner.Stopped(s.Attempt, token, err)
	}
	for _, s := range starts {
		if v.world.step(Start, v.Proc) {
			return
		}
		if len(s.Assignment.GetCheckpoint()) > 0 && v.world.step(Resume, v.Proc) {
			return
		}
		v.started(s.Assignment)
		err := v.Worker.Start(context.Background(), s.Assignment, s.Lease)
		v.Host.Runner.Started(ident.AttemptOf(s.Assignment.GetTask()), errors.Is(err, port.ErrRefused), err)
	}
	if len(stops)+len(starts) > 0 {
		v.world.on(v.Proc, hop, v.cycle)
	}
}

// settleTime is how long a leaving VM may still get new work.
const settleTime = 5 * time.Second

func (v *VM) started(a *schema.Assignment) {
	if !v.LeavingSince.IsZero() && v.world.Now.Sub(v.LeavingSince) > settleTime {
		v.world.History.fault("%s: %s started after it left", v.Name, ident.AttemptOf(a.GetTask()))
	}
}

// visit is a request at the agent.
type visit struct {
	req   *schema.ForwardRequest
	reply func(*schema.ForwardReply)
}

// forward serves one request as the agent does.
func (v *VM) forward(req *schema.ForwardRequest, reply func(*schema.ForwardReply)) {
	if v.world.step(Forward, v.Proc) {
		return
	}
	deadline := v.clock().Add(time.Duration(req.GetTimeoutUs()) * time.Microsecond)
	vis, decision, err := v.Host.RequestSlot(v.clock(), req, deadline)
	if err != nil {
		reply(refusal(req, err, vis.Load(0)))
		return
	}
	vis.Data = &visit{req, reply}
	if decision == gate.Granted {
		v.serve(vis)
	}
}

func refusal(req *schema.ForwardRequest, err error, load *schema.Load) *schema.ForwardReply {
	code := codes.Of(err)
	ran := schema.Ran_RAN_UNKNOWN
	if code.Info().Ran == codes.RanNo {
		ran = schema.Ran_RAN_NO
	}
	return &schema.ForwardReply{Id: req.GetId(), Code: uint32(code), Ran: ran, Message: err.Error(), Load: load}
}

func (v *VM) serve(vis *host.SlotRequest) {
	data := vis.Data.(*visit)
	granted, err := vis.Start(v.clock())
	v.grant(granted)
	if err != nil {
		data.reply(refusal(data.req, err, vis.Load(0)))
		return
	}
	req := port.Request{
		ID: data.req.GetId(), Team: data.req.GetTeam(), Service: data.req.GetService(),
		Path: data.req.GetPath(), Body: data.req.GetBody(),
	}
	took, err := v.Worker.Admit(req)
	v.world.on(v.Proc, took, func() {
		v.grant(vis.Done(v.clock(), took))
		if v.world.step(Answer, v.Proc) {
			return
		}
		if err != nil {
			code := codes.UpstreamFailed
			if errors.Is(err, port.ErrNotStarted) {
				code = codes.NoUpstream
			}
			data.reply(refusal(data.req, codes.Wrap(err, code, "worker"), vis.Load(took)))
			return
		}
		resp := worker.Answer(req)
		data.reply(&schema.ForwardReply{
			Id: data.req.GetId(), Ran: schema.Ran_RAN_YES, Status: int32(resp.Status), Body: resp.Body,
			BodySize: int64(len(resp.Body)), Load: vis.Load(took),
		})
	})
}

func (v *VM) grant(visits []*host.SlotRequest) {
	for _, vis := range visits {
		v.serve(vis)
	}
}

func (v *VM) expire() {
	late, granted := v.Host.Expire(v.clock())
	for _, vis := range late {
		data := vis.Data.(*visit)
		err := vis.Refuse(codes.New(codes.TimedOutNotRun, "the deadline passed in the queue"))
		data.reply(refusal(data.req, err, vis.Load(0)))
	}
	v.grant(granted)
}
