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

// Site tests run entries and agents as processes with the platform adapter,
// against a stand-in for the users' platform. The time limits are those that
// hold at the users' sites.
const (
	// siteResubmitDelay is how long a caller waits after a broken connection
	// before it submits the job again.
	siteResubmitDelay = 1300 * time.Millisecond
	// siteRecoveryTimeout bounds the time from the loss of all processes until
	// every entry completes a job.
	siteRecoveryTimeout = 12 * time.Second
	// siteEvacuationTimeout bounds the time after which no more tasks start in
	// an availability zone that was taken out of service.
	siteEvacuationTimeout = 5 * time.Second
	// siteStopTimeout bounds the time from SIGTERM to the exit of a process.
	siteStopTimeout = 6 * time.Second
	// siteAnswerTimeout is the deadline of a job, measured from its submission.
	siteAnswerTimeout = 6 * time.Second
	// shortRunTime is the run time of a typical task. A task of longRunTime
	// would still run when its job is submitted again, unless its agent stops
	// it.
	shortRunTime = 150 * time.Millisecond
	longRunTime  = siteResubmitDelay + 500*time.Millisecond
)

// siteRoute is the queue that the jobs of site tests are submitted to.
var siteRoute = standin.Route{Name: "q", Host: "a.example", PathPrefix: "/q/", Service: "survey", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 2 * time.Second}

// site is a deployment of entries and agents with the platform adapter.
type site struct {
	t       testing.TB
	runTime time.Duration // of each task
	// unequalNeeds makes tasks need 1 to 8 cores of the 16 of an endpoint, so that agents
	// reserve room, instead of 2.
	unequalNeeds atomic.Bool
	// resubmitDelay is the resubmit_ms setting of agents: how soon after a
	// broken connection they expect a caller to submit its job again.
	resubmitDelay time.Duration
	limits        hostLimits
	program       string // path of the savorystair program; if empty, the test binary
	store         *standin.Store
	hosts         []*siteHost
	entries       []*siteHost
	agents        []*siteHost
	monitor       *runMonitor
}

// hostLimits is what the platform allows the process on each host; 0 means that
// the settings have no limit.
type hostLimits struct {
	memoryMB       int
	maxDescriptors int
}

// addTo adds the limits to the adapter section of the settings of a process.
func (l hostLimits) addTo(adapter map[string]any) {
	if l.memoryMB > 0 {
		adapter["memory_mb"] = l.memoryMB
	}
	if l.maxDescriptors > 0 {
		adapter["max_descriptors"] = l.maxDescriptors
	}
}

// siteHost is a host with an IP address of its own that runs one entry or
// agent.
type siteHost struct {
	*childProcess
	id, ip, role string
	zone         string
	program      string
	settingsFile string
	storeServer  *standin.StoreServer
	endpoint     *standin.Endpoint // nil on the host of an entry
}

// lastHostNumber is the number of the last host that this test process created.
// Host addresses contain the process id, so that test processes that run at the
// same time use different addresses.
var lastHostNumber atomic.Int32

func newLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, lastHostNumber.Add(1))
}

func startSite(t testing.TB, entries, agents int, runTime time.Duration) *site {
	t.Helper()
	s := &site{t: t, runTime: runTime, resubmitDelay: siteResubmitDelay, store: standin.NewStore()}
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
		s.writeHostSettings(h)
		h.start(t)
	}
	for _, a := range s.agents {
		e, err := standin.StartEndpoint(standin.EndpointOptions{
			ID: "i-" + a.id, AgentAddress: a.ip + ":8166", Service: siteRoute.Service, Zone: a.zone,
			CPUMilli: 16000, RunTime: s.runTime, HeartbeatInterval: 500 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		a.endpoint = e
	}
	s.monitor = startRunMonitor(t, s.agents)
	s.waitServing(siteRecoveryTimeout)
}

func (s *site) newHost(id, role, zone string) *siteHost {
	storeServer, err := standin.NewStoreServer(s.store)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(storeServer.Close)
	return &siteHost{id: id, role: role, zone: zone, ip: newLoopbackIP(), program: s.program, storeServer: storeServer}
}

// writeHostSettings writes the settings file of the process on h, with the same
// keys as the templates in deploy/.
func (s *site) writeHostSettings(h *siteHost) {
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, e.ip+":8166")
	}
	settings := map[string]any{
		"id": h.id, "zone": h.zone, "stop_timeout_s": 6,
		"link_address": h.ip + ":7720", "endpoint_address": h.ip + ":8166", "entries": seeds,
		"heartbeat_ms": 500, "lease_ms": 1000, "resubmit_ms": s.resubmitDelay.Milliseconds(), "queue_per_slot": 0.1,
	}
	adapter := map[string]any{"table_address": h.storeServer.Address()}
	if h.role == "entry" {
		settings = map[string]any{
			"id": h.id, "zone": h.zone, "region": "test", "stop_timeout_s": 6, "seeds": seeds,
			"caller_address": h.ip + ":8161", "operator_address": h.ip + ":7735", "peer_address": h.ip + ":8166",
			"table_address": h.storeServer.Address(),
		}
		adapter = map[string]any{"ready_address": h.ip + ":8167", "accept_ms": 1000}
	}
	s.limits.addTo(adapter)
	settings["adapter"] = adapter
	h.settingsFile = (&system{t: s.t}).writeSettings(h.id, settings)
}

func (h *siteHost) start(t testing.TB) {
	program := h.program
	if program == "" {
		program = os.Args[0]
	}
	h.childProcess = startProgram(t, program, h.id, h.role, "--settings", h.settingsFile)
}

// waitServing waits until every entry completes a job and reports to the
// balancer that it is ready.
func (s *site) waitServing(timeout time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		serving := 0
		for _, e := range s.entries {
			answer, err := standin.Submit(s.t.Context(), http.DefaultClient, e.ip+":8161", siteRoute, s.newJob(), siteAnswerTimeout)
			if err == nil && answer.Completed() && standin.Ready(s.t.Context(), e.ip+":8167") {
				serving++
			}
		}
		if serving == len(s.entries) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("only %d of %d entries completed a job and were ready within %s", serving, len(s.entries), timeout)
		}
	}
}

// newJob returns a job with a random id and one to three tasks.
func (s *site) newJob() standin.Job {
	job := standin.Job{ID: fmt.Sprintf("%016x", rand.Uint64()), TaskCount: 1 + rand.IntN(3), CPUMilli: 2000, Estimate: s.runTime}
	if s.unequalNeeds.Load() {
		job.CPUMilli = 1000 * (1 + rand.IntN(8))
	}
	return job
}
