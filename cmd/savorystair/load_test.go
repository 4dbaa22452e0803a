package main_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
)

// load is callers that submit one job after another, each again through the
// next entry when the connection fails.
type load struct {
	t    testing.TB
	s    *system
	stop atomic.Bool
	wait sync.WaitGroup

	mu       sync.Mutex
	outcomes []loadOutcome
}

// loadOutcome is what became of one job.
type loadOutcome struct {
	job     *callerapi.Job
	answer  *callerapi.Answer
	refusal *callerapi.Refusal
	tries   int
	at      time.Time
	took    time.Duration
}

// startLoad runs callers with jobs of work tasks until end.
func (s *system) startLoad(callers, tasks int, work string) *load {
	l := &load{t: s.t, s: s}
	for c := range callers {
		l.wait.Go(func() {
			for i := 0; !l.stop.Load(); i++ {
				job := newJob(fmt.Sprintf("team-%d", c%3), fmt.Sprintf("c%d-j%d", c, i), tasks, "work", work, 20*time.Second)
				l.add(l.submit(job, c+i))
			}
		})
	}
	return l
}

func (l *load) submit(job *callerapi.Job, first int) loadOutcome {
	began := time.Now()
	o := loadOutcome{job: job}
	for o.tries = 1; ; o.tries++ {
		e := l.s.entries[(first+o.tries)%len(l.s.entries)]
		answer, err := e.callers.SubmitJob(l.t.Context(), job)
		o.answer = answer
		o.at = time.Now()
		o.took = time.Since(began)
		var refusal *callerapi.RefusalStatusCode
		if err == nil {
			return o
		}
		if errors.As(err, &refusal) {
			o.refusal = &refusal.Response
			return o
		}
		if o.tries > 20 || l.t.Context().Err() != nil {
			l.t.Errorf("job %s: no answer after %d tries: %v", job.JobID, o.tries, err)
			return o
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *load) add(o loadOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// end stops the callers and checks what must always hold of the outcomes.
func (l *load) end() []loadOutcome {
	l.t.Helper()
	l.stop.Store(true)
	l.wait.Wait()
	l.s.checkStarts()
	counts := l.s.startCounts()
	for _, o := range l.outcomes {
		l.check(o, counts)
	}
	return l.outcomes
}

func (l *load) check(o loadOutcome, counts map[string]int) {
	l.t.Helper()
	started := startsOf(o.job, counts)
	switch {
	case o.refusal != nil:
		if o.refusal.NotRun && started > 0 {
			l.t.Errorf("job %s: refused as not run (%s), but %d tasks were started", o.job.JobID, o.refusal.Reason, started)
		}
	case o.answer == nil:
	case o.answer.Status == callerapi.AnswerStatusComplete:
		checkAnswer(l.t, o.job, o.answer)
	case !o.answer.MayHaveRun.Value && started > 0:
		l.t.Errorf("job %s: failed as not run (%s), but %d tasks were started", o.job.JobID, o.answer.Reason.Value, started)
	}
}

// startsOf returns how many starts of a job's tasks were counted.
func startsOf(job *callerapi.Job, counts map[string]int) int {
	total := 0
	for i := range job.Tasks {
		total += counts[fmt.Sprintf("%s/%s/%d", job.Team, job.JobID, i)]
	}
	return total
}

// tally counts outcomes: complete, failed and refused.
func tally(outcomes []loadOutcome) (complete, failed, refused int) {
	for _, o := range outcomes {
		switch {
		case o.refusal != nil:
			refused++
		case o.answer != nil && o.answer.Status == callerapi.AnswerStatusComplete:
			complete++
		default:
			failed++
		}
	}
	return complete, failed, refused
}

// wantComplete reports every outcome that is not a complete answer.
func wantComplete(t *testing.T, outcomes []loadOutcome) {
	t.Helper()
	for _, o := range outcomes {
		switch {
		case o.refusal != nil:
			t.Errorf("job %s refused: %s: %s", o.job.JobID, o.refusal.Reason, o.refusal.Detail)
		case o.answer != nil && o.answer.Status != callerapi.AnswerStatusComplete:
			t.Errorf("job %s failed: %s: %s", o.job.JobID, o.answer.Reason.Value, o.answer.Detail.Value)
		}
	}
}
