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

// siteLoad is callers that submit jobs, and submit one again 1.3 s after a break
// at another entry.
type siteLoad struct {
	s    *site
	stop atomic.Bool
	wait sync.WaitGroup
	// late says that orders may be carried out late, so that a run may belong to an
	// earlier submission of the job.
	late bool

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
			ran := l.s.watch.count(job.ID) - began
			if try > 0 && l.late {
				ran = 0
			}
			l.take(a, ran, job.ID)
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
	// twice has a line for each task that was seen with two runs. They are reported
	// at the end of the test, unless it takes them away.
	twice []string
}

// watchPause is the time between two looks; runs last 150 ms or more.
const watchPause = 3 * time.Millisecond

// watchRuns watches until the test ends.
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
				w.look(agents)
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		looking.Wait()
		for _, line := range w.twice {
			t.Error(line)
		}
	})
	return w
}

func (w *runWatch) look(agents []*siteHost) {
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
				w.foundTwice(fmt.Sprintf("%s runs at %s beside %s at %s", r, a.id, other.run, other.agent.id))
			}
			there[task] = place{a, r}
		}
	}
}

func (w *runWatch) foundTwice(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.twice, line) {
		w.twice = append(w.twice, line)
	}
}

// takeTwice returns what was found so far and forgets it.
func (w *runWatch) takeTwice() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.twice
	w.twice = nil
	return found
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

// between returns a run that began at an agent between two moments, if there is one.
func (w *runWatch) between(agent string, from, to time.Time) (endpoint.Run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.first[agent] {
		if at.After(from) && at.Before(to) {
			return r, true
		}
	}
	return endpoint.Run{}, false
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
