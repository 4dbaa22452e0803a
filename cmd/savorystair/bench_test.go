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
	benchAgentCount    = 6
	benchSlotsPerAgent = 16
)

// BenchmarkPath measures the path from a caller through one entry and an agent
// to an endpoint: the latency that it adds to repeatable and to claimed
// requests, compared to the same calls made directly to the endpoints, and the
// task starts per second of 260-task jobs whose tasks take 1 ms.
func BenchmarkPath(b *testing.B) {
	s := startSystem(b, 1, benchAgentCount, endpoint.Options{Service: "survey", Slots: benchSlotsPerAgent, Connections: 64})
	b.Run("latency", func(b *testing.B) { benchLatency(b, s) })
	b.Run("throughput", func(b *testing.B) { benchThroughput(b, s) })
}

func benchLatency(b *testing.B, s *system) {
	e := s.entries[0]
	direct, repeatable, claimed := newHistogram(), newHistogram(), newHistogram()
	for i := 0; b.Loop(); i++ {
		recordCall(b, direct, func() error { return s.callEndpoint(i) })
		recordCall(b, repeatable, func() error { return e.submitRequest(b, i, false) })
		recordCall(b, claimed, func() error { return e.submitRequest(b, i, true) })
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"direct": direct, "repeatable": repeatable, "claimed": claimed} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-µs")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-µs")
	}
	b.ReportMetric(float64(repeatable.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-µs")
	b.ReportMetric(float64(repeatable.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-µs")
}

// newHistogram returns a histogram of latencies from 1 µs to 1 min.
func newHistogram() *hdrhistogram.Histogram {
	const minuteMicros = 60_000_000
	return hdrhistogram.New(1, minuteMicros, 3)
}

// recordCall makes a call and records its latency.
func recordCall(b *testing.B, h *hdrhistogram.Histogram, call func() error) {
	start := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	recordElapsed(b, h, time.Since(start))
}

func recordElapsed(b *testing.B, h *hdrhistogram.Histogram, elapsed time.Duration) {
	if err := h.RecordValue(elapsed.Microseconds()); err != nil {
		b.Fatal(err)
	}
}

// callEndpoint sends one task directly to an endpoint.
func (s *system) callEndpoint(i int) error {
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

// submitRequest submits a single request and waits for its answer. An
// unrepeatable request is claimed first.
func (e *entryProcess) submitRequest(b *testing.B, i int, unrepeatable bool) error {
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
	_, err := e.callerClient.SubmitRequest(b.Context(), req)
	return err
}

// BenchmarkOutage submits jobs, which are claimed, and repeatable requests
// before, during and after a one-minute outage of the table service. It reports
// how many of each are answered per second and how long refusals take.
func BenchmarkOutage(b *testing.B) {
	const before, during, after = 10 * time.Second, 60 * time.Second, 10 * time.Second
	for b.Loop() {
		s := startSystem(b, 2, 3, endpoint.Options{Service: "survey", Slots: 8, Connections: 64})
		requests := s.startRequestLoad(8)
		load := s.startLoad(8, 4, "20ms")
		time.Sleep(before)
		outageStart := time.Now()
		s.setTableFaults(&tablepb.SetFaultsRequest{Down: true})
		time.Sleep(during)
		outageEnd := time.Now()
		s.setTableFaults(&tablepb.SetFaultsRequest{})
		time.Sleep(after)
		outcomes := load.stop()
		requests.stop()
		reportWindow := func(name string, from, to time.Time) {
			answeredJobs, refusalLatency := 0, newHistogram()
			for _, o := range outcomes {
				switch {
				case o.endedAt.Before(from) || !o.endedAt.Before(to):
				case o.refusal != nil:
					recordElapsed(b, refusalLatency, o.elapsed)
				default:
					answeredJobs++
				}
			}
			seconds := to.Sub(from).Seconds()
			b.ReportMetric(float64(answeredJobs)/seconds, name+"-jobs/s")
			b.ReportMetric(float64(requests.countAnswered(from, to))/seconds, name+"-requests/s")
			if refusalLatency.TotalCount() > 0 {
				b.ReportMetric(float64(refusalLatency.ValueAtQuantile(99)), name+"-refusal-p99-µs")
			}
		}
		reportWindow("before", outageStart.Add(-before/2), outageStart)
		reportWindow("during", outageStart.Add(time.Second), outageEnd)
		reportWindow("after", outageEnd.Add(after/2), outageEnd.Add(after))
	}
}

// requestLoad is a set of callers that submit repeatable requests one after
// another.
type requestLoad struct {
	stopped    atomic.Bool
	wg         sync.WaitGroup
	mu         sync.Mutex
	answeredAt []time.Time
}

func (s *system) startRequestLoad(callers int) *requestLoad {
	l := &requestLoad{}
	for caller := range callers {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				_, err := s.entries[caller%len(s.entries)].callerClient.SubmitRequest(s.t.Context(), &callerapi.SingleRequest{
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
				l.answeredAt = append(l.answeredAt, time.Now())
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *requestLoad) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// countAnswered returns how many requests were answered at or after from and
// before to.
func (l *requestLoad) countAnswered(from, to time.Time) int {
	n := 0
	for _, at := range l.answeredAt {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// benchThroughput keeps 8 jobs of 260 tasks in progress. One benchmark
// operation is one job.
func benchThroughput(b *testing.B, s *system) {
	const openJobs, tasksPerJob = 8, 260
	e := s.entries[0]
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range openJobs {
		wg.Go(func() {
			for i := range jobs {
				job := newJob("bench", fmt.Sprintf("t%d-%d", i, time.Now().UnixNano()), tasksPerJob, "work", "1ms", time.Minute)
				job.FirstSubmission = callerapi.NewOptBool(true)
				submit(b, e, job)
			}
		})
	}
	start := time.Now()
	submitted := 0
	for b.Loop() {
		jobs <- submitted
		submitted++
	}
	close(jobs)
	wg.Wait()
	b.ReportMetric(float64(submitted*tasksPerJob)/time.Since(start).Seconds(), "starts/s")
	b.ReportMetric(float64(e.peakMemoryKB(b))/1024, "entry-MB")
	b.ReportMetric(float64(s.agents[0].peakMemoryKB(b))/1024, "agent-MB")
}

// peakMemoryKB returns the peak resident memory of the process in KB.
func (p *childProcess) peakMemoryKB(b *testing.B) int {
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
