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

// jobLoad is a set of callers that submit jobs one after another. When a
// connection fails, the caller submits the job again to the next entry.
type jobLoad struct {
	t       testing.TB
	s       *system
	stopped atomic.Bool
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes []jobOutcome
}

// jobOutcome is the outcome of one job: an answer, a refusal, or neither if no
// entry answered.
type jobOutcome struct {
	job      *callerapi.Job
	answer   *callerapi.Answer
	refusal  *callerapi.Refusal
	attempts int
	endedAt  time.Time
	elapsed  time.Duration // since the first submission
}

// startLoad starts callers that submit jobs until stop. Each job has
// tasksPerJob tasks that take runTime, a duration such as "20ms".
func (s *system) startLoad(callers, tasksPerJob int, runTime string) *jobLoad {
	l := &jobLoad{t: s.t, s: s}
	for caller := range callers {
		l.wg.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				job := newJob(fmt.Sprintf("team-%d", caller%3), fmt.Sprintf("c%d-j%d", caller, i), tasksPerJob, "work", runTime, 20*time.Second)
				l.addOutcome(l.submit(job, caller+i))
			}
		})
	}
	return l
}

// submit submits a job until an entry answers or refuses it, and reports an
// error after 21 failed attempts.
func (l *jobLoad) submit(job *callerapi.Job, firstEntry int) jobOutcome {
	start := time.Now()
	o := jobOutcome{job: job}
	for o.attempts = 1; ; o.attempts++ {
		e := l.s.entries[(firstEntry+o.attempts)%len(l.s.entries)]
		answer, err := e.callerClient.SubmitJob(l.t.Context(), job)
		o.answer = answer
		o.endedAt = time.Now()
		o.elapsed = time.Since(start)
		var refusal *callerapi.RefusalStatusCode
		if err == nil {
			return o
		}
		if errors.As(err, &refusal) {
			o.refusal = &refusal.Response
			return o
		}
		if o.attempts > 20 || l.t.Context().Err() != nil {
			l.t.Errorf("job %s: no answer after %d attempts: %v", job.JobID, o.attempts, err)
			return o
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *jobLoad) addOutcome(o jobOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// stop waits for the callers to finish their current jobs and checks that no
// task was started twice and that every outcome is consistent with the starts.
func (l *jobLoad) stop() []jobOutcome {
	l.t.Helper()
	l.stopped.Store(true)
	l.wg.Wait()
	l.s.checkStartedOnce()
	counts := l.s.startCounts()
	for _, o := range l.outcomes {
		l.checkOutcome(o, counts)
	}
	return l.outcomes
}

// checkOutcome reports a complete answer with a wrong result, and a refusal or
// a failure that claims that nothing ran although tasks of the job were
// started.
func (l *jobLoad) checkOutcome(o jobOutcome, counts map[string]int) {
	l.t.Helper()
	started := countStarts(o.job, counts)
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

// countStarts returns how often tasks of a job were started, according to
// counts.
func countStarts(job *callerapi.Job, counts map[string]int) int {
	total := 0
	for i := range job.Tasks {
		total += counts[fmt.Sprintf("%s/%s/%d", job.Team, job.JobID, i)]
	}
	return total
}

// countOutcomes returns the number of complete, failed and refused jobs. A job
// without an answer counts as failed.
func countOutcomes(outcomes []jobOutcome) (complete, failed, refused int) {
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

// checkAllComplete reports refused and failed jobs. A job without an answer was
// reported by submit.
func checkAllComplete(t *testing.T, outcomes []jobOutcome) {
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
