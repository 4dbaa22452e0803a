package endpoint

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// baseStallTimeout is how long a run may make no progress before it is
	// stopped as hung. The longest task that users declare (0.9 s) takes about a
	// third of this for one percent on their slowest endpoint, which runs at a
	// tenth of the usual speed. The timeout doubles with each run of the task
	// that was stopped for lack of progress, so that a task much longer than
	// declared can complete.
	baseStallTimeout = 300 * time.Millisecond
	// maxStallDoublings limits the doubling: the timeout reaches 2.4 s.
	maxStallDoublings = 3
	// stallGapFactor limits the time between two progress changes of a run to a
	// multiple of the longest such time so far.
	stallGapFactor = 4
	// stopWarningDelay is how long after its first stop request a run may be
	// active before that is logged.
	stopWarningDelay = 300 * time.Millisecond
	// maxRememberedNumbers limits the number of tasks whose highest run number
	// is kept. After a number was discarded, the endpoint rejects the next start
	// as old, and the runner increases the number.
	maxRememberedNumbers = 10_000
)

// leasedRun is the state of a run until its outcome is returned.
type leasedRun struct {
	run            Run
	startSentAt    time.Duration // when the latest start request was built
	startAckedAt   time.Duration // when the start was acknowledged, or 0
	stopAckedAt    time.Duration // when the stop was acknowledged, or 0
	missedListings int           // consecutive listings that lack the run

	earlierStalls    uint32        // earlier runs of the task that were stopped for lack of progress
	listed           bool          // whether any listing has shown the run
	percent          int           // as last listed
	percentChangedAt time.Duration // reading of the endpoint's clock when percent changed
	longestGap       time.Duration // longest time between two changes of percent
	stalled          chan struct{} // closed when the run has made no progress for too long

	endBy       func() time.Duration // as in Task
	cancelStart func()               // cancels the start request, once a listing or an end shows the run
	ended       chan struct{}        // closed once ending is set
	ending      Ending
}

// Run starts a task and returns its outcome once the run has certainly ended.
// It stops the run when ctx ends.
func (l *LeasedRunner) Run(ctx context.Context, t Task) Outcome {
	began := time.Now()
	o := l.runTask(ctx, t)
	o.Took = time.Since(began)
	return o
}

func (l *LeasedRunner) runTask(ctx context.Context, t Task) Outcome {
	r, ok := l.addRun(t)
	if !ok {
		return Outcome{Reason: reason.EndpointGone, Detail: "the endpoint is gone, not ready or still has a run of the task", NotRun: true}
	}
	defer l.removeRun(r)
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	r.cancelStart = cancel
	l.mu.Unlock()
	if refusal := l.startRun(startCtx, r, t); refusal != nil {
		return *refusal
	}
	return l.awaitEnd(ctx, r)
}

// addRun registers a run of the task under a new number. It returns false if the
// endpoint is gone, was never ready for tasks or already has a run of the task.
func (l *LeasedRunner) addRun(t Task) (*leasedRun, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone || l.closed || !l.unownedCleared {
		return nil, false
	}
	if l.runs == nil {
		l.runs = map[Run]*leasedRun{}
		l.highestNumbers = map[Run]uint32{}
	}
	task := Run{Job: t.Job, Step: t.Step, Index: t.Index}
	if l.runs[task] != nil {
		return nil, false
	}
	number := max(t.Attempt, l.highestNumbers[task]+1)
	r := &leasedRun{run: task, earlierStalls: t.Stalls, endBy: t.EndBy, cancelStart: func() {}, stalled: make(chan struct{}), ended: make(chan struct{})}
	r.run.Number = number
	l.highestNumbers[task] = number
	l.runs[task] = r
	return r, true
}

func (l *LeasedRunner) removeRun(r *leasedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, r.run.withoutNumber())
	if len(l.highestNumbers) > maxRememberedNumbers {
		clear(l.highestNumbers)
	}
}

// awaitEnd waits for the end of a run. It stops the run if its start was not
// acknowledged, if it makes no progress, or if ctx ends.
func (l *LeasedRunner) awaitEnd(ctx context.Context, r *leasedRun) Outcome {
	if !l.startAcked(r) && !r.hasEnded() {
		return l.stopRun(ctx, r, Outcome{Reason: reason.EndpointSilent, Detail: "the endpoint did not acknowledge the start"})
	}
	select {
	case <-r.ended:
		return l.outcome(r)
	case <-ctx.Done():
		return l.stopRun(ctx, r, Outcome{Reason: reason.Cancelled, Detail: "the run was cancelled after its start"})
	case <-r.stalled:
		l.CountEvent("runs_stuck")
		return l.stopRun(ctx, r, Outcome{Reason: reason.NoProgress, Detail: "the run made no progress"})
	}
}

// recordProgress records the listed progress of a run at a reading of the
// endpoint's clock, and closes stalled if the run has made none for too long.
// Only listings count: a run does not stall because the endpoint is silent.
func (r *leasedRun) recordProgress(endpointClock time.Duration, percent int) {
	if !r.listed || percent != r.percent {
		if r.listed {
			r.longestGap = max(r.longestGap, endpointClock-r.percentChangedAt)
		}
		r.listed, r.percent, r.percentChangedAt = true, percent, endpointClock
		return
	}
	if endpointClock-r.percentChangedAt <= r.stallTimeout() {
		return
	}
	select {
	case <-r.stalled:
	default:
		close(r.stalled)
	}
}

// stallTimeout returns how long the run may make no progress.
func (r *leasedRun) stallTimeout() time.Duration {
	return max(baseStallTimeout<<min(r.earlierStalls, maxStallDoublings), stallGapFactor*r.longestGap)
}

// stopRun stops a run and waits for its end. It returns stopOutcome, or the
// outcome of the run if that was done, had failed or had crashed the endpoint
// before the stop.
func (l *LeasedRunner) stopRun(ctx context.Context, r *leasedRun, stopOutcome Outcome) Outcome {
	// The run must be stopped even though ctx has ended.
	ctx = context.WithoutCancel(ctx)
	warning := time.AfterFunc(stopWarningDelay, func() { l.warnStillRunning(r) })
	defer warning.Stop()
	for !r.hasEnded() && !l.stopAcked(r) {
		err := l.sendRequest(ctx, func(ctx context.Context) (time.Duration, error) {
			return l.Controller.Stop(ctx, r.run, l.Fence())
		})
		if err == nil {
			l.mu.Lock()
			r.stopAckedAt = clock.SinceBoot()
			l.mu.Unlock()
			break
		}
		l.CountEvent("stops_" + failureEvent(err))
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.setRefused()
			l.endLapsedRuns()
		}
		pause.For(ctx, requestRetryDelay)
	}
	<-r.ended
	switch r.ending {
	case EndedDone, EndedFailed:
		return outcomeOf(r.ending)
	case EndedCrashed:
		return l.outcome(r)
	default:
		return stopOutcome
	}
}

// warnStillRunning records that a run is still active some time after its first
// stop request.
func (l *LeasedRunner) warnStillRunning(r *leasedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.CountEvent("stops_overdue")
	l.Log.Warn("run is still active after its stop was requested", zap.Stringer("run", r.run), zap.Bool("acknowledged", r.stopAckedAt > 0),
		zap.Duration("requested_for", stopWarningDelay), zap.Duration("lease_left", l.leaseLeft()))
}

func (r *leasedRun) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// recordEnd records how a run ended, unless an end was recorded before.
func (r *leasedRun) recordEnd(ending Ending) {
	if r.hasEnded() {
		return
	}
	r.ending = ending
	time.AfterFunc(startResponseGrace, r.cancelStart)
	close(r.ended)
}

func (l *LeasedRunner) stopAcked(r *leasedRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.stopAckedAt > 0
}

// outcome returns the outcome of a run that has ended. If the start got no response
// before the endpoint crashed, the endpoint may not have received it.
func (l *LeasedRunner) outcome(r *leasedRun) Outcome {
	if r.ending == EndedCrashed && !l.startAcked(r) {
		return Outcome{Reason: reason.EndpointSilent, Detail: "the endpoint crashed before it acknowledged the start"}
	}
	return outcomeOf(r.ending)
}

func outcomeOf(ending Ending) Outcome {
	switch ending {
	case EndedDone:
		return Outcome{}
	case EndedFailed:
		return Outcome{Reason: reason.EndpointFailed, Detail: "the run failed"}
	case EndedStopped:
		return Outcome{Reason: reason.Cancelled, Detail: "the run was stopped"}
	case EndedLapsed:
		return Outcome{Reason: reason.LeaseLapsed, Detail: "the lease of the run lapsed"}
	case EndedCrashed:
		return Outcome{Reason: reason.EndpointCrashed, Detail: "the endpoint crashed during the run"}
	case EndedUnknown:
		return Outcome{Reason: reason.EndpointGone, Detail: "the endpoint is gone or no longer lists the run"}
	}
	return Outcome{Reason: reason.EndpointGone, Detail: "the endpoint is gone or no longer lists the run"}
}
