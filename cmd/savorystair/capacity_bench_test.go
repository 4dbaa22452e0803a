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
	// controlWindow is the period over which control traffic is measured.
	controlWindow = 35 * time.Second
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// processUsage is the CPU time and the bytes that an entry has used since its
// start.
type processUsage struct {
	at  time.Time
	cpu time.Duration
	byteCounters
}

// byteCounters are the counters of bytes that an entry received and sent on
// its connections to agents, to the table service and to other entries.
type byteCounters struct {
	Bytes struct {
		AgentsIn  int `json:"agents_in"`
		AgentsOut int `json:"agents_out"`
		TableIn   int `json:"table_in"`
		TableOut  int `json:"table_out"`
		PeersIn   int `json:"peers_in"`
		PeersOut  int `json:"peers_out"`
	} `json:"bytes"`
}

func (c byteCounters) agentBytes() int { return c.Bytes.AgentsIn + c.Bytes.AgentsOut }
func (c byteCounters) tableBytes() int { return c.Bytes.TableIn + c.Bytes.TableOut }
func (c byteCounters) peerBytes() int  { return c.Bytes.PeersIn + c.Bytes.PeersOut }

func (e *entryProcess) readUsage(b *testing.B) processUsage {
	u := processUsage{at: time.Now(), cpu: e.cpuTime(b)}
	if err := getJSON(b.Context(), "http://"+e.operatorAddress+"/debug/vars", &u.byteCounters); err != nil {
		b.Fatal(err)
	}
	return u
}

// cpuTime returns the user and system CPU time that the process has used.
func (p *childProcess) cpuTime(b *testing.B) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	// Indexes of utime and stime among the fields after the command name.
	const userField, systemField = 11, 12
	user, uerr := strconv.Atoi(fields[userField])
	system, serr := strconv.Atoi(fields[systemField])
	if uerr != nil || serr != nil {
		b.Fatal(uerr, serr)
	}
	return time.Duration(user+system) * clockTick
}

// BenchmarkControl measures the CPU time, control traffic and memory of an
// entry without load, by the number of agents. The agents run in the benchmark
// process.
func BenchmarkControl(b *testing.B) {
	for _, agents := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := startTable(b, false)
			e := s.startEntry("entry-0", "zone-a")
			for i := range agents {
				startIdleAgent(b, i, e.peerAddress)
			}
			s.eventually(30*time.Second, "every agent is usable", func() bool { return e.usableAgents(b.Context()) == agents })
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before := e.readUsage(b)
				time.Sleep(controlWindow)
				reportUsage(b, before, e.readUsage(b))
			}
			b.ReportMetric(float64(e.peakMemoryKB(b))/1024, "MB")
		})
	}
}

// reportUsage reports the CPU share and the bytes per second between two
// readings.
func reportUsage(b *testing.B, before, after processUsage) {
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "cpu-%")
	b.ReportMetric(float64(after.agentBytes()-before.agentBytes())/seconds, "agent-B/s")
	b.ReportMetric(float64(after.tableBytes()-before.tableBytes())/seconds, "table-B/s")
	b.ReportMetric(float64(after.peerBytes()-before.peerBytes())/seconds, "peer-B/s")
}

// startIdleAgent starts an agent and its endpoint in the benchmark process.
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
	e, err := endpoint.Start(endpoint.Options{Address: "127.0.0.1:0", AgentAddress: a.EndpointAddress(), Service: "survey", Slots: 8})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
}

// BenchmarkAgentControl measures the CPU time and memory of an idle agent, by
// the number of entries in its region.
func BenchmarkAgentControl(b *testing.B) {
	for _, entries := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := startTable(b, false)
			for i := range entries {
				s.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
			}
			a := s.startAgent("agent-0", "zone-a", surveyEndpoint)
			s.waitReady()
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before, start := a.cpuTime(b), time.Now()
				time.Sleep(controlWindow)
				used := (a.cpuTime(b) - before).Seconds()
				b.ReportMetric(100*used/time.Since(start).Seconds(), "cpu-%")
			}
			b.ReportMetric(float64(a.peakMemoryKB(b))/1024, "MB")
		})
	}
}

// BenchmarkStartCost measures the CPU time and the bytes that an entry and its
// agents spend on one task of a 260-task job.
func BenchmarkStartCost(b *testing.B) {
	const tasks = 260
	s := startSystem(b, 1, benchAgentCount, endpoint.Options{Service: "survey", Slots: benchSlotsPerAgent, Connections: 64})
	e, a := s.entries[0], s.agents[0]
	before, agentBefore := e.readUsage(b), a.cpuTime(b)
	jobs := 0
	for b.Loop() {
		job := newJob("bench", fmt.Sprintf("c%d", jobs), tasks, "work", "1ms", time.Minute)
		submit(b, e, job)
		jobs++
	}
	after, agentAfter := e.readUsage(b), a.cpuTime(b)
	starts := float64(jobs * tasks)
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/starts, "entry-cpu-µs/start")
	b.ReportMetric(benchAgentCount*float64((agentAfter-agentBefore).Microseconds())/starts, "agent-cpu-µs/start")
	b.ReportMetric(float64(after.agentBytes()-before.agentBytes())/starts, "agent-B/start")
	b.ReportMetric(float64(after.tableBytes()-before.tableBytes())/float64(jobs), "table-B/job")
}

// BenchmarkClaims measures how many unrepeatable requests one entry claims per
// second, and in how many commits, by the number of concurrent callers.
func BenchmarkClaims(b *testing.B) {
	const window = 5 * time.Second
	s := startSystem(b, 1, benchAgentCount, endpoint.Options{Service: "survey", Slots: 64})
	e := s.entries[0]
	for _, callers := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				before := e.tableCommits(b)
				done := s.submitUnrepeatable(b, e, callers, window)
				b.ReportMetric(float64(done)/window.Seconds(), "claims/s")
				b.ReportMetric(float64(e.tableCommits(b)-before)/window.Seconds(), "commits/s")
			}
		})
	}
}

// submitUnrepeatable submits unrepeatable requests for a period and returns how
// many were answered.
func (s *system) submitUnrepeatable(b *testing.B, e *entryProcess, callers int, period time.Duration) int64 {
	var answered, next atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(period)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				_, err := e.callerClient.SubmitRequest(b.Context(), &callerapi.SingleRequest{
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
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// tableCommits returns how many commits the entry has made to the table
// service.
func (e *entryProcess) tableCommits(b *testing.B) int {
	var vars struct {
		Events struct {
			Commits int `json:"table_commits"`
		} `json:"events"`
	}
	if err := getJSON(b.Context(), "http://"+e.operatorAddress+"/debug/vars", &vars); err != nil {
		b.Fatal(err)
	}
	return vars.Events.Commits
}

// BenchmarkOpenTasks measures the memory of an entry per task of the jobs that
// are open at the same time.
func BenchmarkOpenTasks(b *testing.B) {
	const jobs, tasks = 200, 260
	s := startSystem(b, 1, 3, surveyEndpoint)
	e := s.entries[0]
	for b.Loop() {
		before := e.peakMemoryKB(b)
		ctx, cancel := context.WithTimeout(b.Context(), 3*time.Second)
		done := make(chan struct{})
		for i := range jobs {
			go func() {
				defer func() { done <- struct{}{} }()
				job := newJob("bench", fmt.Sprintf("open-%d", i), tasks, "work", "500ms", time.Minute)
				// The callers disconnect before the answers arrive.
				_, _ = e.callerClient.SubmitJob(ctx, job)
			}()
		}
		for range jobs {
			<-done
		}
		cancel()
		b.ReportMetric(float64(e.peakMemoryKB(b)-before)*1024/(jobs*tasks), "B/task")
	}
}
