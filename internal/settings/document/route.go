package document

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RoutesSection lists the routes to the queues that callers submit jobs to.
type RoutesSection struct {
	Routes []Route `json:"routes"`
}

// Route maps requests to a queue: requests to Host whose path begins with
// PathPrefix are jobs for Service.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// TimeoutMS is how long callers of the queue wait at least. The deadline that a
	// caller sets applies; see WaitedBefore.
	TimeoutMS int `json:"timeout_ms"`
	// A job is due after Stretch times the run time of its critical path plus
	// TargetMS.
	Stretch  float64 `json:"stretch"`
	TargetMS int     `json:"target_ms"`
	// Priority orders the queues of a service; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int `json:"attempts"`
}

// DueAfter returns how long after its submission a job is due. criticalPath is
// the run time of the job's critical path.
func (r Route) DueAfter(criticalPath time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(criticalPath)) + time.Duration(r.TargetMS)*time.Millisecond
}

// WaitedBefore returns how long a caller that waits for the given further time has
// waited already, at least: it may have submitted the job before, to an entry
// that was lost or could not be reached.
func (r Route) WaitedBefore(timeLeft time.Duration) time.Duration {
	return max(0, time.Duration(r.TimeoutMS)*time.Millisecond-timeLeft)
}

// groupByHost returns the routes by lower-case host. The routes of a host are
// sorted by the length of their path prefix, longest first.
func (s RoutesSection) groupByHost() map[string][]Route {
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

// Route returns the route with the longest prefix that matches a request, and
// the part of the path after the prefix.
func (d Document) Route(host, path string) (r Route, rest string, ok bool) {
	for _, r := range d.routes[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, r.PathPrefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}
