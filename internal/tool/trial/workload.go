package trial

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"net/http"
)

//go:embed *.jsonc
var configs embed.FS

// Workload describes the requests and the job that one user's system sends.
type Workload struct {
	Name string
	// Team and Service name the service that requests are sent to.
	Team, Service string
	// BatchTeam and BatchKind are the team and kind of the job.
	BatchTeam, BatchKind string
	// path is the path of requests, relative to the service's path.
	path string
	// body returns the body of request i. It takes random values from rnd.
	body func(rnd *rand.Rand, i int) string
}

// Workloads returns the available workloads by name.
func Workloads() map[string]Workload {
	return map[string]Workload{
		"tlacuilo": {
			Name: "tlacuilo", Team: "presses", Service: "registry", BatchTeam: "universities",
			BatchKind: "catalogue", path: "/validate",
			body: func(rnd *rand.Rand, i int) string {
				return fmt.Sprintf(`{"prefix":"978-607-%05d","press":%d}`, rnd.IntN(100_000), i)
			},
		},
		"conteo": {
			Name: "conteo", Team: "crews", Service: "processing", BatchTeam: "corridors",
			BatchKind: "rerun", path: "/tally",
			body: func(rnd *rand.Rand, i int) string {
				return fmt.Sprintf(`{"counter":%d,"vehicles":[%d,%d,%d]}`, i, rnd.IntN(900), rnd.IntN(90), rnd.IntN(9))
			},
		},
	}
}

// configOf returns the configuration of a team.
func configOf(team string) ([]byte, error) { return configs.ReadFile(team + ".jsonc") }

func (w Workload) teams() []string { return []string{w.Team, w.BatchTeam} }

func (w Workload) requestPath() string {
	return "/v1/teams/" + w.Team + "/services/" + w.Service + w.path
}

func (w Workload) header() http.Header {
	return http.Header{"Idempotent": {"true"}, "Request-Timeout": {"2s"}, "Content-Type": {"application/json"}}
}
