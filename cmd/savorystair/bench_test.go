package main_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

const (
	benchAgents = 6
	benchSlots  = 16
)

// BenchmarkPath measures the path against the same calls made straight to the
// endpoints, with one entry: the latency that it adds to a repeatable request
// and to a claimed one, and the task starts a second of 260-task jobs on
// endpoints that take 1 ms.
func BenchmarkPath(b *testing.B) {
	s := startSystem(b, 1, benchAgents, endpoint.Options{Service: "survey", Slots: benchSlots, Connections: 64})
	b.Run("latency", func(b *testing.B) { benchLatency(b, s) })
	b.Run("throughput", func(b *testing.B) { benchThroughput(b, s) })
}

func benchLatency(b *testing.B, s *system) {
	e := s.entries[0]
	direct, repeatable, claimed := newHistogram(), newHistogram(), newHistogram()
	for i := 0; b.Loop(); i++ {
		timed(b, direct, func() error { return s.callDirect(i) })
		timed(b, repeatable, func() error { return e.callRequest(b, i, false) })
		timed(b, claimed, func() error { return e.callRequest(b, i, true) })
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"direct": direct, "repeatable": repeatable, "claimed": claimed} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-µs")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-µs")
	}
	b.ReportMetric(float64(repeatable.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-µs")
	b.ReportMetric(float64(repeatable.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-µs")
}

func newHistogram() *hdrhistogram.Histogram {
	const minute = 60_000_000 // µs
	return hdrhistogram.New(1, minute, 3)
}

func timed(b *testing.B, h *hdrhistogram.Histogram, call func() error) {
	began := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	record(b, h, time.Since(began))
}

func record(b *testing.B, h *hdrhistogram.Histogram, took time.Duration) {
	if err := h.RecordValue(took.Microseconds()); err != nil {
		b.Fatal(err)
	}
}

// callDirect makes one call straight to an endpoint.
func (s *system) callDirect(i int) error {
	a := s.agents[i%len(s.agents)]
	req, err := http.NewRequest(http.MethodPost, "http://"+a.endpoint.Address()+"/v1/tasks", bytes.NewReader([]byte("1ms x")))
	if err != nil {
		return err
	}
	req.Header.Set("Savorystair-Kind", "work")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return err
}

func (e *entryProgram) callRequest(b *testing.B, i int, unrepeatable bool) error {
	req := &callerapi.SingleRequest{
		Team:     "bench",
		Service:  "survey",
		Deadline: time.Now().Add(time.Minute),
		Task:     callerapi.Task{Kind: "work", Payload: []byte("1ms x")},
	}
	if unrepeatable {
		req.RequestID = callerapi.NewOptName(callerapi.Name(fmt.Sprintf("r%d-%d", i, time.Now().UnixNano())))
		req.Unrepeatable = callerapi.NewOptBool(true)
		req.FirstSubmission = callerapi.NewOptBool(true)
	}
	_, err := e.callers.SubmitRequest(b.Context(), req)
	return err
}

// BenchmarkOutage runs claimed jobs and repeatable requests while the table
// service is down for a minute, and reports what each completes a second and
// how long the refusals take.
func BenchmarkOutage(b *testing.B) {
	const before, during, after = 10 * time.Second, 60 * time.Second, 10 * time.Second
	for b.Loop() {
		s := startSystem(b, 2, 3, endpoint.Options{Service: "survey", Slots: 8, Connections: 64})
		requests := s.startRequests(8)
		l := s.startLoad(8, 4, "20ms")
		time.Sleep(before)
		from := time.Now()
		s.setFaults(&tablepb.SetFaultsRequest{Down: true})
		time.Sleep(during)
		to := time.Now()
		s.setFaults(&tablepb.SetFaultsRequest{})
		time.Sleep(after)
		outcomes := l.end()
		requests.end()
		window := func(name string, from, to time.Time) {
			done, refused := 0, newHistogram()
			for _, o := range outcomes {
				switch {
				case o.at.Before(from) || !o.at.Before(to):
				case o.refusal != nil:
					record(b, refused, o.took)
				default:
					done++
				}
			}
			seconds := to.Sub(from).Seconds()
			b.ReportMetric(float64(done)/seconds, name+"-jobs/s")
			b.ReportMetric(float64(requests.count(from, to))/seconds, name+"-requests/s")
			if refused.TotalCount() > 0 {
				b.ReportMetric(float64(refused.ValueAtQuantile(99)), name+"-refusal-p99-µs")
			}
		}
		window("before", from.Add(-before/2), from)
		window("during", from.Add(time.Second), to)
		window("after", to.Add(after/2), to.Add(after))
	}
}

// requestLoad is callers that repeat repeatable requests.
type requestLoad struct {
	stop atomic.Bool
	wait sync.WaitGroup
	mu   sync.Mutex
	done []time.Time
}

func (s *system) startRequests(callers int) *requestLoad {
	l := &requestLoad{}
	for c := range callers {
		l.wait.Go(func() {
			for !l.stop.Load() {
				_, err := s.entries[c%len(s.entries)].callers.SubmitRequest(s.t.Context(), &callerapi.SingleRequest{
					Team:     "requests",
					Service:  "survey",
					Deadline: time.Now().Add(time.Minute),
					Task:     callerapi.Task{Kind: "work", Payload: []byte("20ms x")},
				})
				if err != nil {
					s.t.Errorf("repeatable request: %v", err)
					return
				}
				l.mu.Lock()
				l.done = append(l.done, time.Now())
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *requestLoad) end() {
	l.stop.Store(true)
	l.wait.Wait()
}

func (l *requestLoad) count(from, to time.Time) int {
	n := 0
	for _, at := range l.done {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// benchThroughput keeps 8 jobs of 260 tasks open. One operation is one job.
func benchThroughput(b *testing.B, s *system) {
	const open, tasks = 8, 260
	e := s.entries[0]
	jobs := make(chan int)
	var wait sync.WaitGroup
	for range open {
		wait.Go(func() {
			for i := range jobs {
				job := newJob("bench", fmt.Sprintf("t%d-%d", i, time.Now().UnixNano()), tasks, "work", "1ms", time.Minute)
				job.FirstSubmission = callerapi.NewOptBool(true)
				submit(b, e, job)
			}
		})
	}
	began := time.Now()
	n := 0
	for b.Loop() {
		jobs <- n
		n++
	}
	close(jobs)
	wait.Wait()
	b.ReportMetric(float64(n*tasks)/time.Since(began).Seconds(), "starts/s")
	b.ReportMetric(float64(e.peakMemory(b))/1024, "entry-MB")
	b.ReportMetric(float64(s.agents[0].peakMemory(b))/1024, "agent-MB")
}

// peakMemory returns the most memory that the process had in use, in KB.
func (p *program) peakMemory(b *testing.B) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		b.Fatal(err)
	}
	return kb
}
