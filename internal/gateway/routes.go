package gateway

import (
	"net"
	"net/http"
	"strings"

	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// routeTable finds a request's route: the longest prefix of the path among the routes of the host.
// Prefixes end with a slash.
type routeTable struct {
	config *fleet.Config
	routes map[string]*fleet.Route
}

func newRouteTable(c *fleet.Config) *routeTable {
	t := &routeTable{config: c, routes: make(map[string]*fleet.Route, len(c.Routes))}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey(r.Host, r.Prefix)] = r
	}
	return t
}

func routeKey(host, prefix string) string { return strings.ToLower(host) + " " + prefix }

// find returns the route, or nil.
func (t *routeTable) find(host, path string) *fleet.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := t.routes[routeKey(host, path[:slash+1])]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// parseRequestTarget returns the path with its query as the caller sent it, and the path alone. The
// absolute form is reduced to the path.
func parseRequestTarget(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// pickService chooses a service by weight. The choice is the same for the same id.
func pickService(r *fleet.Route, id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	const span = 1 << 32
	point := float64(rendezvous.Hash(id)%span) / span * total
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
