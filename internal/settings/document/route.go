package document

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RoutesSection lists the queues that callers submit jobs to.
type RoutesSection struct {
	Routes []Route `json:"routes"`
}

// Route is a queue: requests to a host whose path begins with the prefix are
// jobs for a service.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// TimeoutMS is the operators' time-out for the queue. Jobs go by the limit of
	// their callers.
	TimeoutMS int `json:"timeout_ms"`
	// Stretch and TargetMS say when a job is due: after Stretch times its
	// longest chain of work and TargetMS more.
	Stretch  float64 `json:"stretch"`
	TargetMS int     `json:"target_ms"`
	// Priority orders the queues of a service; 0 goes first.
	Priority int `json:"priority"`
	// Attempts is how many runs of a task may fail.
	Attempts int `json:"attempts"`
}

// Due returns how long after its submission a job is due whose longest chain of
// work takes chain.
func (r Route) Due(chain time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(chain)) + time.Duration(r.TargetMS)*time.Millisecond
}

// byHost returns the routes by host, those with the longest prefix first.
func (s RoutesSection) byHost() map[string][]Route {
	all := map[string][]Route{}
	for _, r := range s.Routes {
		host := strings.ToLower(r.Host)
		all[host] = append(all[host], r)
	}
	for _, routes := range all {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return all
}

// Route returns the route of a request, and the part of the path behind its
// prefix.
func (d Document) Route(host, path string) (r Route, rest string, ok bool) {
	for _, r := range d.routes[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, r.PathPrefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}
