package teams

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Bounds on what a subtree may ask for.
const (
	maxReplicas  = 2000
	maxSlots     = 1024
	maxCPUs      = 1024
	maxBodyMB    = 64
	maxNameBytes = 40
	maxRetry     = 100 // percent
	minTimeout   = time.Millisecond
	maxTimeout   = 10 * time.Minute
	maxBodySize  = 256 << 10 // bytes of one subtree
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9-]*$`)

// ValidName reports whether name may name a team, service or kind.
func ValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// Parse reads and checks a subtree. It returns every fault with its place.
func Parse(file string, body []byte) (*Config, jsonc.Faults) {
	cfg := &Config{}
	if len(body) > maxBodySize {
		return cfg, jsonc.Faults{{File: file, Line: 1, Reason: "the subtree is larger than 256 KiB"}}
	}
	src := jsonc.Decode(file, body, cfg)
	c := checker{src}
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
	if cfg.Retry.Percent > maxRetry {
		src.Add("retry.percent", "want at most %d", maxRetry)
	}
	if cfg.Cell != "" {
		c.name("cell", cfg.Cell)
	}
	return cfg, src.Faults()
}

// CheckFit returns a fault for each service or kind that fits none of the VMs, and a
// warning if the quota and those of other teams, in thousandths of a processor,
// add up to more than all VMs have.
func CheckFit(file string, body []byte, vms []*schema.Size, others uint64) (faults, warnings jsonc.Faults) {
	if len(vms) == 0 {
		return nil, nil
	}
	cfg := &Config{}
	refused, warned := jsonc.Decode(file, body, cfg), jsonc.Decode(file, body, &Config{})
	for _, name := range sortedKeys(cfg.Services) {
		s := cfg.Services[name]
		if !FitsAny(s.Size(), vms) {
			refused.Add("services."+name, "a replica fits on no VM")
		}
	}
	for _, name := range sortedKeys(cfg.Batch) {
		k := cfg.Batch[name]
		if !FitsAny(k.Size(), vms) {
			refused.Add("batch."+name, "a task fits on no VM")
		}
	}
	var cpu uint64
	for _, vm := range vms {
		cpu += uint64(vm.GetCpuMilli())
	}
	if sum := others + uint64(cfg.Quota.CPU.Milli()); sum > cpu {
		warned.Add("quota.cpu", "all quotas add up to %d processors, the VMs have %d", sum/1000, cpu/1000)
	}
	return refused.Faults(), warned.Faults()
}

// FitsAny reports whether size fits on one of the VMs.
func FitsAny(size *schema.Size, vms []*schema.Size) bool {
	return slices.ContainsFunc(vms, func(vm *schema.Size) bool {
		return size.GetCpuMilli() <= vm.GetCpuMilli() && size.GetMemoryMb() <= vm.GetMemoryMb() &&
			size.GetAccelerators() <= vm.GetAccelerators()
	})
}

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
		k, at := s.Kinds[name], field+".kinds."+name
		c.name(at, name)
		c.timeout(at+".timeout", k.Timeout.Duration)
		if k.Prefix != "" && !strings.HasPrefix(k.Prefix, "/") {
			c.Add(at+".prefix", "want a path that starts with a slash")
		}
		if k.Share > 100 {
			c.Add(at+".share", "want at most 100 percent")
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
