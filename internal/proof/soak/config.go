package soak

import (
	"fmt"
	"strings"
)

const (
	// host and prefix are the host name and path prefix of the queue that takes the jobs.
	host   = "presses.example"
	prefix = "/assign/"
)

// configuration returns a version of the operator's configuration. Each version adds a route
// to those of the version before, so that a request to the route of a version shows whether
// an entry uses that version or a later one.
func configuration(version int64) []byte {
	routes := []string{route("assign", prefix)}
	for v := int64(1); v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("version-%d", v), versionPrefix(v)))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"registry"}],"limits":{"max_body_bytes":262144}}`,
		version, strings.Join(routes, ","))
}

// versionPrefix returns the path prefix of the route that a configuration version adds.
func versionPrefix(v int64) string { return fmt.Sprintf("/version-%d/", v) }

func route(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"service":"registry","priority":1,"max_attempts":50,`+
		`"stretch":2,"target_latency_ms":1000,"timeout_ms":3000}`, name, host, prefix)
}
