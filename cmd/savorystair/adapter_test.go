package main_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/platform/standin"
)

// Tests in this file run entries and agents as processes with the adapter, on a
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
	t       *testing.T
	work    time.Duration // run time of a task
	store   *standin.Store
	hosts   []*siteHost
	entries []*siteHost
	agents  []*siteHost
	watch   *runWatch
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
	s := &site{t: t, work: work, store: standin.NewStore()}
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
			CPU: 16000, Work: work, Beat: 500 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		a.endpoint = e
	}
	s.watch = watchRuns(t, s.agents)
	s.serves(siteRecovery)
	return s
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
		"heartbeat_ms": 500, "lease_ms": 1000, "resubmit_ms": siteResubmit.Milliseconds(), "queue_per_slot": 0.1,
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

// siteLoad is callers that submit jobs, and submit one again 1.3 s after a break
// at another entry.
type siteLoad struct {
	s    *site
	stop atomic.Bool
	wait sync.WaitGroup

	mu        sync.Mutex
	completed int
	refused   int
	broken    int // connections that ended without an answer
	unopened  int // connections that the host refused
	other     int
}

func (s *site) startLoad(callers int) *siteLoad {
	l := &siteLoad{s: s}
	for c := range callers {
		client := &http.Client{Transport: &http.Transport{}}
		s.t.Cleanup(client.CloseIdleConnections)
		l.wait.Go(func() {
			for i := c; !l.stop.Load(); i++ {
				l.submit(client, i)
			}
		})
	}
	return l
}

func (l *siteLoad) submit(client *http.Client, first int) {
	job := l.s.newJob()
	for try := range 3 {
		e := l.s.entries[(first+try)%len(l.s.entries)]
		began := l.s.watch.count(job.ID)
		a, err := standin.Submit(context.Background(), client, e.ip+":8161", siteRoute, job, siteLimit)
		if err == nil {
			l.take(a, l.s.watch.count(job.ID)-began, job.ID)
			return
		}
		l.lost(err)
		time.Sleep(siteResubmit)
	}
}

func (l *siteLoad) lost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.unopened++
		return
	}
	l.broken++
}

// take counts an answer. A refusal says that nothing ran for this submission.
func (l *siteLoad) take(a standin.Answer, began int, id string) {
	if seconds, err := strconv.Atoi(a.RetryAfter); err == nil {
		defer time.Sleep(time.Duration(seconds) * time.Second)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Completed():
		l.completed++
	case a.Refused:
		l.refused++
		if began > 0 {
			l.s.t.Errorf("job %s: refused with %d, but %d runs began", id, a.Status, began)
		}
		if a.RetryAfter == "" {
			l.s.t.Errorf("job %s: refused with %d and no time to come back", id, a.Status)
		}
	default:
		l.other++
	}
}

func (l *siteLoad) end() {
	l.stop.Store(true)
	l.wait.Wait()
	l.s.t.Logf("%d completed, %d refused, %d connections broken, %d not opened, %d other answers",
		l.completed, l.refused, l.broken, l.unopened, l.other)
}

// runWatch looks every few ms at what all endpoints run.
type runWatch struct {
	mu    sync.Mutex
	first map[string]map[endpoint.Run]time.Time // when a run was first seen, by agent
	runs  map[string]int                        // how many were seen, by job
}

// watchPause is the time between two looks; runs last 150 ms or more.
const watchPause = 3 * time.Millisecond

// watchRuns watches until the test ends, and reports tasks with two runs.
func watchRuns(t *testing.T, agents []*siteHost) *runWatch {
	w := &runWatch{first: map[string]map[endpoint.Run]time.Time{}, runs: map[string]int{}}
	stop := make(chan struct{})
	var looking sync.WaitGroup
	looking.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(watchPause):
				w.look(t, agents)
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		looking.Wait()
	})
	return w
}

func (w *runWatch) look(t *testing.T, agents []*siteHost) {
	type place struct {
		agent *siteHost
		run   endpoint.Run
	}
	there := map[endpoint.Run]place{} // by task
	for _, a := range agents {
		for _, r := range a.endpoint.Running() {
			w.note(a.id, r)
			task := r
			task.Number = 0
			other, twice := there[task]
			// The other may have ended after it was looked at.
			if twice && other.agent.runs(other.run) {
				t.Errorf("%s runs at %s beside %s at %s", r, a.id, other.run, other.agent.id)
			}
			there[task] = place{a, r}
		}
	}
}

func (h *siteHost) runs(r endpoint.Run) bool {
	for _, other := range h.endpoint.Running() {
		if other == r {
			return true
		}
	}
	return false
}

func (w *runWatch) note(agent string, r endpoint.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first[agent] == nil {
		w.first[agent] = map[endpoint.Run]time.Time{}
	}
	if _, seen := w.first[agent][r]; !seen {
		w.first[agent][r] = time.Now()
		w.runs[r.Job]++
	}
}

// count returns how many runs of a job were seen.
func (w *runWatch) count(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[job]
}

// since returns a run that began at an agent after a moment, if there is one.
func (w *runWatch) since(agent string, after time.Time) (endpoint.Run, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.first[agent] {
		if at.After(after) {
			return r, at.Sub(after), true
		}
	}
	return endpoint.Run{}, 0, false
}

// An entry that is killed, stands still or is stopped under load: its callers
// submit their jobs again 1.3 s later at another entry, and no task has two runs.
func TestSiteEntryLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longWork)
	l := s.startLoad(12)
	e := s.entries[0]
	time.Sleep(500 * time.Millisecond)
	e.signal(syscall.SIGKILL)
	<-e.ended
	time.Sleep(1200 * time.Millisecond)
	e.start(t)
	time.Sleep(time.Second)
	e.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	e.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	l.end()
	s.serves(siteRecovery)
	if l.completed == 0 || l.broken == 0 {
		t.Error("no job completed, or no connection broke")
	}
}

// An agent that is killed, or stands still, under load: its tasks are placed
// again only once their runs have ended.
func TestSiteAgentLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longWork)
	l := s.startLoad(12)
	a := s.agents[0]
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		a.signal(syscall.SIGKILL)
		<-a.ended
		time.Sleep(200 * time.Millisecond)
		a.start(t)
		time.Sleep(time.Second)
		a.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	l.end()
	if l.completed == 0 || l.broken > 0 {
		t.Errorf("%d jobs completed and %d connections broke, want some and none", l.completed, l.broken)
	}
}

// All processes are lost at once while the store is down. Service is back within
// the users' bound after the store is.
func TestSiteAllLostInOutage(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortWork)
	l := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range s.hosts {
		h.gate.Set(standin.Silent)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.ended
		h.start(t)
	}
	time.Sleep(2 * time.Second)
	for _, h := range s.hosts {
		h.gate.Set(standin.Served)
	}
	back := time.Now()
	s.serves(siteRecovery)
	t.Logf("served %s after the store was back", time.Since(back))
	l.end()
}

// A zone is taken out while the store turns away an entry and the agents of the
// zone, each in its own way: no task starts there, and service goes on.
func TestSiteZoneOutWhileTurnedAway(t *testing.T) {
	t.Parallel()
	for _, how := range []standin.Trouble{standin.Busy, standin.Limited, standin.Broken, standin.Silent} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2, 3, shortWork)
			l := s.startLoad(8)
			time.Sleep(300 * time.Millisecond)
			s.entries[0].gate.Set(how)
			s.agents[1].gate.Set(how)
			time.Sleep(200 * time.Millisecond)
			s.store.TakeOut(s.agents[1].zone)
			out := time.Now()
			time.Sleep(siteEvacuate + 1500*time.Millisecond)
			if r, late, found := s.watch.since("agent-1", out.Add(siteEvacuate)); found {
				t.Errorf("%s began %s after its zone was taken out", r, siteEvacuate+late)
			}
			s.serves(siteRecovery)
			l.end()
		})
	}
}

// Planned stops under load break no connection off: of an entry whose callers
// follow the balancer's view, and of an agent.
func TestSitePlannedStops(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortWork)
	l := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range []*siteHost{s.agents[0], s.entries[0]} {
		began := time.Now()
		h.signal(syscall.SIGTERM)
		<-h.ended
		if took := time.Since(began); took > siteGrace || h.status != nil {
			t.Errorf("%s stopped after %s with %v", h.id, took, h.status)
		}
		h.start(t)
		s.serves(siteRecovery)
	}
	l.end()
	if l.broken > 0 {
		t.Errorf("%d connections were broken off", l.broken)
	}
}
