package main_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
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
	if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
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
