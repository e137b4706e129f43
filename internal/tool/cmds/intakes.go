package cmds

import (
	"log/slog"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
)

// intakes holds what the clients of a process on the users' platform hold, by address.
type intakes struct {
	// callers is that of an entry's callers or of an agent's worker. An agent has no health and
	// no peers.
	callers, health, admin, peers *intake.Intake
}

func newIntakes(l *proc.Limits) *intakes {
	return &intakes{
		callers: &intake.Intake{Limits: l.Callers()}, health: &intake.Intake{Limits: l.Admin()},
		admin: &intake.Intake{Limits: l.Admin()}, peers: &intake.Intake{Limits: l.Peers()},
	}
}

// register adds the metrics to a registry.
func (in *intakes) register(r *prometheus.Registry) {
	in.callers.Register(r, "callers")
	in.health.Register(r, "health")
	in.admin.Register(r, "admin")
	in.peers.Register(r, "peers")
}

// otherDescriptors is how many descriptors a process uses besides those of its clients: for its own
// connections to others, and for files.
const otherDescriptors = 300

// warnOfDescriptors logs if clients may use up the descriptors of the process.
func warnOfDescriptors(l *proc.Limits, log *slog.Logger) {
	sum := otherDescriptors + l.Callers().Connections + l.Peers().Connections + 2*l.Admin().Connections
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && uint64(sum) > limit.Cur {
		log.Warn("the limits of connections exceed the descriptors of the process", "want", sum, "have", limit.Cur)
	}
}

// softLimit is the fraction of the machine's memory from which on the collector runs more often.
// The rest is for what the runtime does not count.
const softLimit = 0.8

// limitMemory makes the collector run more often as the process nears the memory of its machine.
func limitMemory(machine jsonc.Memory) {
	debug.SetMemoryLimit(int64(float64(machine) * (1 << 20) * softLimit))
}
