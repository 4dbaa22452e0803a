package main_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

const (
	// controlWindow is how long control traffic is watched.
	controlWindow = 35 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
)

// usage is what a process has used up to now.
type usage struct {
	at  time.Time
	cpu time.Duration
	vars
}

// vars are the counters that a usage needs.
type vars struct {
	Bytes struct {
		AgentsIn  int `json:"agents_in"`
		AgentsOut int `json:"agents_out"`
		TableIn   int `json:"table_in"`
		TableOut  int `json:"table_out"`
		PeersIn   int `json:"peers_in"`
		PeersOut  int `json:"peers_out"`
	} `json:"bytes"`
}

func (v vars) agents() int { return v.Bytes.AgentsIn + v.Bytes.AgentsOut }
func (v vars) table() int  { return v.Bytes.TableIn + v.Bytes.TableOut }
func (v vars) peers() int  { return v.Bytes.PeersIn + v.Bytes.PeersOut }

func (e *entryProgram) usage(b *testing.B) usage {
	u := usage{at: time.Now(), cpu: e.processorTime(b)}
	if err := getJSON(b.Context(), "http://"+e.varsAt+"/debug/vars", &u.vars); err != nil {
		b.Fatal(err)
	}
	return u
}

// processorTime returns the processor time that the process has used.
func (p *program) processorTime(b *testing.B) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	user, uerr := strconv.Atoi(fields[userField])
	system, serr := strconv.Atoi(fields[systemField])
	if uerr != nil || serr != nil {
		b.Fatal(uerr, serr)
	}
	return time.Duration(user+system) * clockTick
}

// BenchmarkControl measures what an entry process uses while nothing is asked
// of it, by the number of agents. The agents live in the benchmark's process.
func BenchmarkControl(b *testing.B) {
	for _, agents := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := startTable(b, false)
			e := s.startEntry("entry-0", "zone-a")
			for i := range agents {
				startIdleAgent(b, i, e.peerAt)
			}
			s.eventually(30*time.Second, "every agent is usable", func() bool { return e.usable(b.Context()) == agents })
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before := e.usage(b)
				time.Sleep(controlWindow)
				reportUsage(b, before, e.usage(b))
			}
			b.ReportMetric(float64(e.peakMemory(b))/1024, "MB")
		})
	}
}

func reportUsage(b *testing.B, before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "cpu-%")
	b.ReportMetric(float64(after.agents()-before.agents())/seconds, "agent-B/s")
	b.ReportMetric(float64(after.table()-before.table())/seconds, "table-B/s")
	b.ReportMetric(float64(after.peers()-before.peers())/seconds, "peer-B/s")
}

// startIdleAgent runs an agent and its endpoint in this process.
func startIdleAgent(b *testing.B, i int, entries ...string) {
	b.Helper()
	a, err := agenthost.Start(process.Agent{
		ID: fmt.Sprintf("agent-%d", i), Zone: zoneName(i), Entries: entries,
		LinkAddress: "127.0.0.1:0", EndpointAddress: "127.0.0.1:0",
	}, zap.NewNop(), agenthost.Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(a.Close)
	e, err := endpoint.Run(endpoint.Options{Address: "127.0.0.1:0", Agent: a.EndpointAddress(), Service: "survey", Slots: 8})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
}

// BenchmarkAgentControl measures what an idle agent process uses, by the
// number of entries in its region.
func BenchmarkAgentControl(b *testing.B) {
	for _, entries := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := startTable(b, false)
			for i := range entries {
				s.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
			}
			a := s.startAgent("agent-0", "zone-a", survey)
			s.ready()
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before, began := a.processorTime(b), time.Now()
				time.Sleep(controlWindow)
				used := (a.processorTime(b) - before).Seconds()
				b.ReportMetric(100*used/time.Since(began).Seconds(), "cpu-%")
			}
			b.ReportMetric(float64(a.peakMemory(b))/1024, "MB")
		})
	}
}

// BenchmarkStartCost measures the processor time and the bytes that an entry
// and an agent spend on one task of a 260-task job.
func BenchmarkStartCost(b *testing.B) {
	const tasks = 260
	s := startSystem(b, 1, benchAgents, endpoint.Options{Service: "survey", Slots: benchSlots, Connections: 64})
	e, a := s.entries[0], s.agents[0]
	before, agentBefore := e.usage(b), a.processorTime(b)
	n := 0
	for b.Loop() {
		job := newJob("bench", fmt.Sprintf("c%d", n), tasks, "work", "1ms", time.Minute)
		submit(b, e, job)
		n++
	}
	after, agentAfter := e.usage(b), a.processorTime(b)
	starts := float64(n * tasks)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/starts, "entry-cpu-µs/start")
	b.ReportMetric(benchAgents*float64((agentAfter-agentBefore).Microseconds())/starts, "agent-cpu-µs/start")
	b.ReportMetric(float64(after.agents()-before.agents())/starts, "agent-B/start")
	b.ReportMetric(float64(after.table()-before.table())/float64(n), "table-B/job")
}

// BenchmarkClaims measures how many unrepeatable requests a second one entry
// claims, and in how many commits, by the number of callers at once.
func BenchmarkClaims(b *testing.B) {
	const window = 5 * time.Second
	s := startSystem(b, 1, benchAgents, endpoint.Options{Service: "survey", Slots: 64})
	e := s.entries[0]
	for _, callers := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				before := e.commits(b)
				done := s.claimFor(b, e, callers, window)
				b.ReportMetric(float64(done)/window.Seconds(), "claims/s")
				b.ReportMetric(float64(e.commits(b)-before)/window.Seconds(), "commits/s")
			}
		})
	}
}

// claimFor runs unrepeatable requests for a time, and returns how many ended.
func (s *system) claimFor(b *testing.B, e *entryProgram, callers int, window time.Duration) int64 {
	var done, next atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(window)
	for range callers {
		wait.Go(func() {
			for time.Now().Before(end) {
				_, err := e.callers.SubmitRequest(b.Context(), &callerapi.SingleRequest{
					Team:            "bench",
					RequestID:       callerapi.NewOptName(callerapi.Name(fmt.Sprintf("c%d-%d-%d", callers, time.Now().UnixNano(), next.Add(1)))),
					Service:         "survey",
					Deadline:        time.Now().Add(time.Minute),
					Unrepeatable:    callerapi.NewOptBool(true),
					FirstSubmission: callerapi.NewOptBool(true),
					Task:            callerapi.Task{Kind: "echo", Payload: []byte("x")},
				})
				if err != nil {
					b.Error(err)
					return
				}
				done.Add(1)
			}
		})
	}
	wait.Wait()
	return done.Load()
}

func (e *entryProgram) commits(b *testing.B) int {
	var vars struct {
		Events struct {
			Commits int `json:"table_commits"`
		} `json:"events"`
	}
	if err := getJSON(b.Context(), "http://"+e.varsAt+"/debug/vars", &vars); err != nil {
		b.Fatal(err)
	}
	return vars.Events.Commits
}

// BenchmarkOpenTasks measures the memory that an entry needs for each task of
// the jobs that are open at once.
func BenchmarkOpenTasks(b *testing.B) {
	const jobs, tasks = 200, 260
	s := startSystem(b, 1, 3, survey)
	e := s.entries[0]
	for b.Loop() {
		before := e.peakMemory(b)
		ctx, cancel := context.WithTimeout(b.Context(), 3*time.Second)
		done := make(chan struct{})
		for i := range jobs {
			go func() {
				defer func() { done <- struct{}{} }()
				job := newJob("bench", fmt.Sprintf("open-%d", i), tasks, "work", "500ms", time.Minute)
				// The callers leave before the answer comes.
				_, _ = e.callers.SubmitJob(ctx, job)
			}()
		}
		for range jobs {
			<-done
		}
		cancel()
		b.ReportMetric(float64(e.peakMemory(b)-before)*1024/(jobs*tasks), "B/task")
	}
}
