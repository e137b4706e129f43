package teams

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Limits of a team's configuration.
const (
	maxReplicas     = 2000
	maxSlots        = 1024
	maxCPUs         = 1024
	maxBodyMB       = 64
	maxNameBytes    = 40
	maxRetryPercent = 100
	minTimeout      = time.Millisecond
	maxTimeout      = 10 * time.Minute
	maxConfigBytes  = 256 << 10 // of the text, comments included
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9-]*$`)

// ValidName reports whether name is a valid name of a team, service, kind, cell,
// VM, availability zone or process.
func ValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// Parse decodes and validates the configuration of one team. It returns all faults,
// each with its line and field.
func Parse(file string, body []byte) (*Config, jsonc.Faults) {
	cfg := &Config{}
	if len(body) > maxConfigBytes {
		return cfg, jsonc.Faults{{File: file, Line: 1, Reason: "the subtree is larger than 256 KiB"}}
	}
	doc := jsonc.Decode(file, body, cfg)
	c := checker{doc}
	c.quota(cfg)
	for _, name := range sortedKeys(cfg.Services) {
		s := cfg.Services[name]
		c.name("services."+name, name)
		c.service("services."+name, &s)
	}
	for _, name := range sortedKeys(cfg.Batch) {
		k := cfg.Batch[name]
		c.name("batch."+name, name)
		c.kind("batch."+name, &k)
	}
	if cfg.Retry.Percent > maxRetryPercent {
		doc.Add("retry.percent", "want at most %d", maxRetryPercent)
	}
	if cfg.Cell != "" {
		c.name("cell", cfg.Cell)
	}
	return cfg, doc.Faults()
}

// CheckFit compares a configuration with the capacities of the VMs. It returns a fault
// for each service whose replicas, and each kind whose tasks, are larger than every VM,
// and a warning if the processor quotas of all teams exceed the processors of all VMs.
// otherQuotasMilli is the sum of the quotas of the other teams, in thousandths of a
// processor. Without VMs, it checks nothing.
func CheckFit(file string, body []byte, vms []*schema.Size, otherQuotasMilli uint64) (faults, warnings jsonc.Faults) {
	if len(vms) == 0 {
		return nil, nil
	}
	cfg := &Config{}
	faultDoc, warningDoc := jsonc.Decode(file, body, cfg), jsonc.Decode(file, body, &Config{})
	for _, name := range sortedKeys(cfg.Services) {
		s := cfg.Services[name]
		if !FitsAny(s.Size(), vms) {
			faultDoc.Add("services."+name, "a replica fits on no VM")
		}
	}
	for _, name := range sortedKeys(cfg.Batch) {
		k := cfg.Batch[name]
		if !FitsAny(k.Size(), vms) {
			faultDoc.Add("batch."+name, "a task fits on no VM")
		}
	}
	var cpu uint64
	for _, vm := range vms {
		cpu += uint64(vm.GetCpuMilli())
	}
	if sum := otherQuotasMilli + uint64(cfg.Quota.CPU.Milli()); sum > cpu {
		warningDoc.Add("quota.cpu", "all quotas add up to %d processors, the VMs have %d", sum/1000, cpu/1000)
	}
	return faultDoc.Faults(), warningDoc.Faults()
}

// FitsAny reports whether size fits on at least one of the VMs when it is empty.
func FitsAny(size *schema.Size, vms []*schema.Size) bool {
	return slices.ContainsFunc(vms, func(vm *schema.Size) bool {
		return size.GetCpuMilli() <= vm.GetCpuMilli() && size.GetMemoryMb() <= vm.GetMemoryMb() &&
			size.GetAccelerators() <= vm.GetAccelerators()
	})
}

// checker validates a decoded configuration and records faults in its document.
type checker struct {
	*jsonc.Document
}

func (c checker) name(field, name string) {
	if !ValidName(name) {
		c.Add(field, "names are of at most %d letters, digits and hyphens", maxNameBytes)
	}
}

func (c checker) cpu(field string, n CPU) {
	if n <= 0 || n > maxCPUs {
		c.Add(field+".cpu", "want more than 0 and at most %d processors", maxCPUs)
	}
}

func (c checker) timeout(field string, d time.Duration) {
	if d != 0 && (d < minTimeout || d > maxTimeout) {
		c.Add(field, "want between %s and %s", minTimeout, maxTimeout)
	}
}

func (c checker) quota(cfg *Config) {
	if cfg.Quota.CPU < 0 || cfg.Quota.CPU > 1e6 {
		c.Add("quota.cpu", "want between 0 and 1000000 processors")
	}
}

func (c checker) service(field string, s *Service) {
	c.cpu(field, s.CPU)
	if s.Replicas > maxReplicas {
		c.Add(field+".replicas", "want at most %d", maxReplicas)
	}
	if s.Slots > maxSlots {
		c.Add(field+".slots", "want at most %d", maxSlots)
	}
	if s.BodyLimit > maxBodyMB {
		c.Add(field+".bodyLimit", "want at most %dMB", maxBodyMB)
	}
	c.timeout(field+".timeout", s.Timeout.Duration)
	c.timeout(field+".latencyAim", s.LatencyTarget.Duration)
	var shares uint32
	for _, name := range sortedKeys(s.Kinds) {
		k, path := s.Kinds[name], field+".kinds."+name
		c.name(path, name)
		c.timeout(path+".timeout", k.Timeout.Duration)
		if k.Prefix != "" && !strings.HasPrefix(k.Prefix, "/") {
			c.Add(path+".prefix", "want a path that starts with a slash")
		}
		if k.Share > 100 {
			c.Add(path+".share", "want at most 100 percent")
		}
		shares += min(k.Share, 100)
	}
	if shares > 100 {
		c.Add(field+".kinds", "the shares add up to %d percent", shares)
	}
}

func (c checker) kind(field string, k *Kind) {
	c.cpu(field, k.CPU)
	if k.Work.Duration < 0 {
		c.Add(field+".work", "want a positive duration")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
