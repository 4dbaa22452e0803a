package main_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// Tests of a site run entries and agents as processes with the adapter, on a
// stand-in for the users' platform. Bounds are those of the users' sites.
const (
	// siteResubmit is how soon after a break a caller submits a job again.
	siteResubmit = 1300 * time.Millisecond
	// siteRecovery is how soon after all processes were lost service is back.
	siteRecovery = 12 * time.Second
	// siteEvacuate is how soon after an evacuation no task starts in a zone.
	siteEvacuate = 5 * time.Second
	// siteGrace is how long a process may take to stop.
	siteGrace = 6 * time.Second
	// siteLimit is how long callers wait for an answer.
	siteLimit = 6 * time.Second
	// shortWork is the run time of a usual task. A longWork task outlasts the time
	// after which its job is submitted again, if nobody stops it.
	shortWork = 150 * time.Millisecond
	longWork  = siteResubmit + 500*time.Millisecond
)

var siteRoute = standin.Route{Name: "q", Host: "a.example", Prefix: "/q/", Service: "survey", Attempts: 3, Stretch: 1.6, Target: 2 * time.Second}

// site is a deployment with the adapter.
type site struct {
	t    *testing.T
	work time.Duration // run time of a task
	// resubmit is how soon agents take callers to submit a job again.
	resubmit time.Duration
	store    *standin.Store
	hosts    []*siteHost
	entries  []*siteHost
	agents   []*siteHost
	watch    *runWatch
}

// siteHost is a host with one process, at an address of its own.
type siteHost struct {
	*program
	id, ip, role string
	zone         string
	settings     string
	gate         *standin.Gate
	endpoint     *standin.Endpoint // beside an agent
}

// lastHost numbers the hosts of this process, whose addresses differ from those
// of other test processes by the process's id.
var lastHost atomic.Int32

func newIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, lastHost.Add(1))
}

func startSite(t *testing.T, entries, agents int, work time.Duration) *site {
	t.Helper()
	s := &site{t: t, work: work, resubmit: siteResubmit, store: standin.NewStore()}
	s.start(entries, agents)
	return s
}

func (s *site) start(entries, agents int) {
	t := s.t
	t.Helper()
	s.store.SetRoutes(1, siteRoute)
	for i := range entries {
		s.entries = append(s.entries, s.newHost(fmt.Sprintf("entry-%d", i), "entry", zoneName(i)))
	}
	for i := range agents {
		s.agents = append(s.agents, s.newHost(fmt.Sprintf("agent-%d", i), "agent", zoneName(i)))
	}
	s.hosts = append(append(s.hosts, s.entries...), s.agents...)
	for _, h := range s.hosts {
		s.describe(h)
		h.start(t)
	}
	for _, a := range s.agents {
		e, err := standin.StartEndpoint(standin.EndpointOptions{
			ID: "i-" + a.id, Agent: a.ip + ":8166", Service: siteRoute.Service, Zone: a.zone,
			CPU: 16000, Work: s.work, Beat: 500 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		a.endpoint = e
	}
	s.watch = watchRuns(t, s.agents)
	s.serves(siteRecovery)
}

func (s *site) newHost(id, role, zone string) *siteHost {
	gate, err := standin.NewGate(s.store)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(gate.Close)
	return &siteHost{id: id, role: role, zone: zone, ip: newIP(), gate: gate}
}

// describe writes the settings of a host's process, like those of deploy/.
func (s *site) describe(h *siteHost) {
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, e.ip+":8166")
	}
	settings := map[string]any{
		"id": h.id, "zone": h.zone, "stop_timeout_s": 6,
		"link_address": h.ip + ":7720", "endpoint_address": h.ip + ":8166", "entries": seeds,
		"heartbeat_ms": 500, "lease_ms": 1000, "resubmit_ms": s.resubmit.Milliseconds(), "queue_per_slot": 0.1,
		"adapter": map[string]any{"table_address": h.gate.Address()},
	}
	if h.role == "entry" {
		settings = map[string]any{
			"id": h.id, "zone": h.zone, "region": "test", "stop_timeout_s": 6, "seeds": seeds,
			"caller_address": h.ip + ":8161", "operator_address": h.ip + ":7735", "peer_address": h.ip + ":8166",
			"table_address": h.gate.Address(),
			"adapter":       map[string]any{"ready_address": h.ip + ":8167", "accept_ms": 1000},
		}
	}
	h.settings = (&system{t: s.t}).settings(h.id, settings)
}

func (h *siteHost) start(t *testing.T) {
	h.program = run(t, h.id, h.role, "--settings", h.settings)
}

// serves waits until every entry completes a job.
func (s *site) serves(within time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		served := 0
		for _, e := range s.entries {
			a, err := standin.Submit(s.t.Context(), http.DefaultClient, e.ip+":8161", siteRoute, s.newJob(), siteLimit)
			if err == nil && a.Completed() && standin.Ready(s.t.Context(), e.ip+":8167") {
				served++
			}
		}
		if served == len(s.entries) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%d of %d entries serve after %s", served, len(s.entries), within)
		}
	}
}

func (s *site) newJob() standin.Job {
	return standin.Job{ID: fmt.Sprintf("%016x", rand.Uint64()), Count: 1 + rand.IntN(3), CPU: 2000, Estimate: s.work}
}
