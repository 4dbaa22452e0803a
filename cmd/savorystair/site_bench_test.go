package main_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// BenchmarkSiteCost measures the CPU time that entries spend on a job and agents
// spend per second, under the load of a large site: short jobs at a fixed rate,
// by the number of entries and agents.
func BenchmarkSiteCost(b *testing.B) {
	const (
		jobsPerEntry = 24 // a second
		settleTime   = 2 * time.Second
		window       = 10 * time.Second
	)
	for _, size := range []struct{ entries, agents int }{{3, 11}, {8, 36}, {16, 72}} {
		b.Run(fmt.Sprintf("entries=%d,agents=%d", size.entries, size.agents), func(b *testing.B) {
			s := startSite(b, size.entries, size.agents, shortRunTime)
			for b.Loop() {
				load := s.startSteadyLoad(jobsPerEntry)
				time.Sleep(settleTime)
				jobs, entryCPU, agentCPU := load.answered(), cpuTimeOf(b, s.entries), cpuTimeOf(b, s.agents)
				time.Sleep(window)
				jobs, entryCPU, agentCPU = load.answered()-jobs, cpuTimeOf(b, s.entries)-entryCPU, cpuTimeOf(b, s.agents)-agentCPU
				load.stop()
				b.ReportMetric(float64(jobs)/window.Seconds(), "jobs/s")
				b.ReportMetric(float64(entryCPU.Microseconds())/float64(jobs), "entry-µs/job")
				b.ReportMetric(100*agentCPU.Seconds()/window.Seconds()/float64(size.agents), "agent-cpu-%")
			}
		})
	}
}

// cpuTimeOf returns the CPU time that the processes of hosts have used together.
func cpuTimeOf(b *testing.B, hosts []*siteHost) time.Duration {
	total := time.Duration(0)
	for _, h := range hosts {
		total += h.cpuTime(b)
	}
	return total
}

// steadyLoad submits jobs to every entry at a fixed rate, whether or not earlier
// ones have been answered.
type steadyLoad struct {
	stopped chan struct{}
	wg      sync.WaitGroup

	mu        sync.Mutex
	completed int
}

func (s *site) startSteadyLoad(jobsPerEntry int) *steadyLoad {
	l := &steadyLoad{stopped: make(chan struct{})}
	for _, e := range s.entries {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: jobsPerEntry}}
		s.t.Cleanup(client.CloseIdleConnections)
		l.wg.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(jobsPerEntry))
			defer ticker.Stop()
			for {
				select {
				case <-l.stopped:
					return
				case <-ticker.C:
					l.wg.Go(func() { l.submit(s, client, e) })
				}
			}
		})
	}
	return l
}

func (l *steadyLoad) submit(s *site, client *http.Client, e *siteHost) {
	answer, err := standin.Submit(s.t.Context(), client, e.ip+":8161", siteRoute, s.newJob(), siteAnswerTimeout)
	if err != nil || !answer.Completed() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
}

// answered returns the number of jobs completed so far.
func (l *steadyLoad) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// stop ends the load and waits for the answers of its jobs.
func (l *steadyLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}
