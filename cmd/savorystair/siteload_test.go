package main_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/platform/standin"
)

// siteLoad is a set of callers that submit jobs one after another. When a
// connection breaks, the caller waits for siteResubmitDelay and submits the job
// to the next entry, up to three times in all.
type siteLoad struct {
	s       *site
	stopped atomic.Bool
	wg      sync.WaitGroup
	// mayRunLate is set if endpoints may apply start requests late. A run that
	// starts during one submission may then belong to an earlier submission of
	// the job.
	mayRunLate bool

	mu                 sync.Mutex
	completedJobs      int
	refusedJobs        int
	brokenConnections  int // connections that ended without an answer
	refusedConnections int // connections that the host refused
	otherAnswers       int
}

func (s *site) startLoad(callers int) *siteLoad {
	l := &siteLoad{s: s}
	for caller := range callers {
		client := &http.Client{Transport: &http.Transport{}}
		s.t.Cleanup(client.CloseIdleConnections)
		l.wg.Go(func() {
			for i := caller; !l.stopped.Load(); i++ {
				l.submit(client, i)
			}
		})
	}
	return l
}

func (l *siteLoad) submit(client *http.Client, firstEntry int) {
	job := l.s.newJob()
	for attempt := range 3 {
		e := l.s.entries[(firstEntry+attempt)%len(l.s.entries)]
		runsBefore := l.s.monitor.countRuns(job.ID)
		answer, err := standin.Submit(context.Background(), client, e.ip+":8161", siteRoute, job, siteAnswerTimeout)
		if err == nil {
			newRuns := l.s.monitor.countRuns(job.ID) - runsBefore
			if attempt > 0 && l.mayRunLate {
				newRuns = 0
			}
			l.countAnswer(answer, newRuns, job.ID)
			return
		}
		l.countFailure(err)
		time.Sleep(siteResubmitDelay)
	}
}

func (l *siteLoad) countFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.refusedConnections++
		return
	}
	l.brokenConnections++
}

// countAnswer counts the answer to a submission during which newRuns runs of
// the job started, and waits as long as Retry-After demands. It reports a
// refusal, which states that nothing ran for this submission, if there were
// runs.
func (l *siteLoad) countAnswer(answer standin.Answer, newRuns int, jobID string) {
	if seconds, err := strconv.Atoi(answer.RetryAfter); err == nil {
		defer time.Sleep(time.Duration(seconds) * time.Second)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answer.Completed():
		l.completedJobs++
	case answer.Refused:
		l.refusedJobs++
		if newRuns > 0 {
			l.s.t.Errorf("job %s: refused with status %d, but %d runs started", jobID, answer.Status, newRuns)
		}
		if answer.RetryAfter == "" {
			l.s.t.Errorf("job %s: refused with status %d and no Retry-After header", jobID, answer.Status)
		}
	default:
		l.otherAnswers++
	}
}

// stop waits for the callers to finish their current jobs and logs the counts.
func (l *siteLoad) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
	l.s.t.Logf("%d jobs completed, %d jobs refused, %d connections broken, %d connections refused, %d other answers",
		l.completedJobs, l.refusedJobs, l.brokenConnections, l.refusedConnections, l.otherAnswers)
}

// runMonitor polls the endpoints of all agents for their runs, and finds tasks
// with two runs at the same time.
type runMonitor struct {
	mu        sync.Mutex
	firstSeen map[string]map[endpoint.Run]time.Time // time at which each run was first seen, by agent
	runCounts map[string]int                        // number of runs seen, by job
	// duplicates has a line for each pair of concurrent runs of the same task.
	// At the end of the test each line is reported as an error, unless the test
	// has removed it by takeDuplicates.
	duplicates []string
}

// runPollInterval is the time between two polls. Runs last at least
// shortRunTime, so that each is seen.
const runPollInterval = 3 * time.Millisecond

// startRunMonitor starts a monitor that polls until the test ends.
func startRunMonitor(t testing.TB, agents []*siteHost) *runMonitor {
	m := &runMonitor{firstSeen: map[string]map[endpoint.Run]time.Time{}, runCounts: map[string]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(runPollInterval):
				m.poll(agents)
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
		for _, line := range m.duplicates {
			t.Error(line)
		}
	})
	return m
}

// poll records the current runs of every endpoint and any two of the same task.
func (m *runMonitor) poll(agents []*siteHost) {
	type location struct {
		agent *siteHost
		run   endpoint.Run
	}
	byTask := map[endpoint.Run]location{} // a run with number 0 stands for its task
	for _, a := range agents {
		for _, r := range a.endpoint.Running() {
			m.recordRun(a.id, r)
			task := r
			task.Number = 0
			earlier, duplicate := byTask[task]
			// Check again: the other run may have ended since its endpoint was
			// polled.
			if duplicate && earlier.agent.isRunning(earlier.run) {
				m.addDuplicate(fmt.Sprintf("run %s at %s is concurrent with run %s of the same task at %s", r, a.id, earlier.run, earlier.agent.id))
			}
			byTask[task] = location{a, r}
		}
	}
}

func (m *runMonitor) addDuplicate(line string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.duplicates, line) {
		m.duplicates = append(m.duplicates, line)
	}
}

// takeDuplicates returns and removes the duplicates found so far.
func (m *runMonitor) takeDuplicates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	duplicates := m.duplicates
	m.duplicates = nil
	return duplicates
}

// isRunning reports whether the endpoint of an agent's host still lists a run.
func (h *siteHost) isRunning(r endpoint.Run) bool {
	for _, other := range h.endpoint.Running() {
		if other == r {
			return true
		}
	}
	return false
}

func (m *runMonitor) recordRun(agent string, r endpoint.Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstSeen[agent] == nil {
		m.firstSeen[agent] = map[endpoint.Run]time.Time{}
	}
	if _, seen := m.firstSeen[agent][r]; !seen {
		m.firstSeen[agent][r] = time.Now()
		m.runCounts[r.Job]++
	}
}

// countRuns returns how many runs of a job were seen.
func (m *runMonitor) countRuns(job string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runCounts[job]
}

// runStartedBetween returns a run that was first seen at an agent between from
// and to, if there is one.
func (m *runMonitor) runStartedBetween(agent string, from, to time.Time) (endpoint.Run, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, at := range m.firstSeen[agent] {
		if at.After(from) && at.Before(to) {
			return r, true
		}
	}
	return endpoint.Run{}, false
}

// runStartedAfter returns a run that was first seen at an agent after the given
// time, and how long after, if there is one.
func (m *runMonitor) runStartedAfter(agent string, after time.Time) (endpoint.Run, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, at := range m.firstSeen[agent] {
		if at.After(after) {
			return r, at.Sub(after), true
		}
	}
	return endpoint.Run{}, 0, false
}
