package endpoint

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// answerGrace is how long the answer to a start is waited for once a listing
	// has shown the run. To give up an answer breaks its connection.
	answerGrace = 15 * time.Millisecond
	// startTries bounds the orders to start one run.
	startTries = 12
	// stallAfter is how long a run may make no progress before it is taken for
	// hung: three times what the longest task of the users' sheets, 0.9 s, takes
	// for one percent on the slowest of their endpoints, a tenth of the usual
	// speed. It doubles with each run of the task that was stopped for it, so that
	// tasks which are much longer than declared get through.
	stallAfter = 300 * time.Millisecond
	// maxStallDoublings bounds that, at 2.4 s.
	maxStallDoublings = 3
	// stallGaps is how many times the longest time between two percents that a
	// run has shown it may take for the next.
	stallGaps = 4
	// maxNumbers bounds the tasks whose numbers are remembered. A number that was
	// forgotten is refused as old and raised.
	maxNumbers = 10_000
)

// leasedRun is a run that has not surely ended.
type leasedRun struct {
	run     Run
	acked   time.Duration // when the start was acknowledged, or 0
	stopped time.Duration // when the stop was acknowledged, or 0
	missing int           // listings in a row that lack the run

	stalls  uint32 // of earlier runs of the task
	listed  bool
	percent int           // as last listed
	moved   time.Duration // when that changed, by the endpoint's clock
	gap     time.Duration // the longest time between two changes
	stalled chan struct{} // closed once the run makes no progress

	settled func()        // ends the order to start, once the run is known to be there
	ended   chan struct{} // closed once how is set
	how     Ending
}

// Run starts a task and returns its outcome once the run has surely ended. The
// end of ctx stops the run.
func (l *Leased) Run(ctx context.Context, t Task) Outcome {
	began := time.Now()
	o := l.run(ctx, t)
	o.Took = time.Since(began)
	return o
}

func (l *Leased) run(ctx context.Context, t Task) Outcome {
	r, ok := l.begin(t)
	if !ok {
		return Outcome{Reason: reason.EndpointGone, Detail: "the endpoint has gone", NotRun: true}
	}
	defer l.forget(r)
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	r.settled = cancel
	l.mu.Unlock()
	if refusal := l.start(startCtx, r, t); refusal != nil {
		return *refusal
	}
	return l.await(ctx, r)
}

// begin numbers a run of the task.
func (l *Leased) begin(t Task) (*leasedRun, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return nil, false
	}
	if l.runs == nil {
		l.runs = map[Run]*leasedRun{}
		l.numbers = map[Run]uint32{}
	}
	task := Run{Job: t.Job, Step: t.Step, Index: t.Index}
	if l.runs[task] != nil {
		return nil, false
	}
	number := max(t.Attempt, l.numbers[task]+1)
	r := &leasedRun{run: task, stalls: t.Stalls, settled: func() {}, stalled: make(chan struct{}), ended: make(chan struct{})}
	r.run.Number = number
	l.numbers[task] = number
	l.runs[task] = r
	return r, true
}

// renumber gives the run the next number.
func (l *Leased) renumber(r *leasedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.run.Number++
	l.numbers[r.run.task()] = r.run.Number
}

func (l *Leased) forget(r *leasedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, r.run.task())
	if len(l.numbers) > maxNumbers {
		clear(l.numbers)
	}
}

// start gives the order to start until it is answered. It returns an outcome if
// the run has surely not begun.
func (l *Leased) start(ctx context.Context, r *leasedRun, t Task) *Outcome {
	open := false // an order without an answer may yet be carried out
	for range startTries {
		if l.wasAcked(r) || r.over() {
			return nil
		}
		if ctx.Err() != nil || t.Allowed != nil && !t.Allowed() {
			break
		}
		err := l.order(ctx, func(ctx context.Context) (time.Duration, error) {
			return l.Orders.Start(ctx, l.startOrder(r, t))
		})
		if err == nil {
			l.mu.Lock()
			r.acked = clock.Boot()
			l.mu.Unlock()
			return nil
		}
		l.Count("starts_" + startProblem(err))
		rejected, ok := rejection(err)
		if !ok {
			open = true
			pause.For(ctx, orderRetry)
			continue
		}
		switch rejected.Why {
		case RejectedOld:
			l.renumber(r)
		case RejectedFence, RejectedLate:
		case RejectedRoom, RejectedUnhealthy, RejectedIncarnation, RejectedBad, RejectedOtherwise:
			if open {
				return nil // the stop settles whether an earlier order was carried out
			}
			return &Outcome{Reason: refusalOf(rejected.Why), Detail: rejected.Error(), NotRun: true}
		}
	}
	if !open {
		return &Outcome{Reason: reason.EndpointRefused, Detail: "the start was not accepted", NotRun: true}
	}
	return nil
}

func startProblem(err error) string {
	if r, ok := rejection(err); ok {
		return "rejected_" + r.Why.String()
	}
	return "unanswered"
}

func refusalOf(why Rejection) reason.Reason {
	switch why {
	case RejectedRoom:
		return reason.AgentBusy
	case RejectedIncarnation:
		return reason.EndpointGone
	default:
		return reason.EndpointRefused
	}
}

func (l *Leased) startOrder(r *leasedRun, t Task) StartOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return StartOrder{Run: r.run, Payload: string(t.Payload), Until: l.leaseEnd(), Fence: l.fence}
}

// await waits for the end of a run. It stops one that was not acknowledged,
// that makes no progress, or whose ctx ends.
func (l *Leased) await(ctx context.Context, r *leasedRun) Outcome {
	if !l.wasAcked(r) && !r.over() {
		return l.stop(ctx, r, Outcome{Reason: reason.EndpointSilent, Detail: "the start was not acknowledged"})
	}
	select {
	case <-r.ended:
		return outcomeOf(r.how)
	case <-ctx.Done():
		return l.stop(ctx, r, Outcome{Reason: reason.Cancelled, Detail: "stopped after the start"})
	case <-r.stalled:
		l.Count("runs_stuck")
		return l.stop(ctx, r, Outcome{Reason: reason.NoProgress, Detail: "the run made no progress"})
	}
}

func (l *Leased) wasAcked(r *leasedRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.acked > 0
}

// progressed takes how far a run has come at a reading of the endpoint's clock.
// Only what the endpoint says counts: its silence doesn't make a run stall.
func (r *leasedRun) progressed(at time.Duration, percent int) {
	if !r.listed || percent != r.percent {
		if r.listed {
			r.gap = max(r.gap, at-r.moved)
		}
		r.listed, r.percent, r.moved = true, percent, at
		return
	}
	if at-r.moved <= r.patience() {
		return
	}
	select {
	case <-r.stalled:
	default:
		close(r.stalled)
	}
}

// patience returns how long the run may make no progress.
func (r *leasedRun) patience() time.Duration {
	return max(stallAfter<<min(r.stalls, maxStallDoublings), stallGaps*r.gap)
}

// stop stops a run and returns the outcome, or that of a run that ended before.
func (l *Leased) stop(ctx context.Context, r *leasedRun, o Outcome) Outcome {
	// The stop must be given although the run is not wanted any more.
	ctx = context.WithoutCancel(ctx)
	for !r.over() && !l.wasStopped(r) {
		err := l.order(ctx, func(ctx context.Context) (time.Duration, error) {
			return l.Orders.Stop(ctx, r.run, l.fenceNow())
		})
		if err == nil {
			l.mu.Lock()
			r.stopped = clock.Boot()
			l.mu.Unlock()
			break
		}
		l.Count("stops_" + startProblem(err))
		if errors.Is(err, syscall.ECONNREFUSED) && l.lapsed() {
			return o
		}
		pause.For(ctx, orderRetry)
	}
	<-r.ended
	if r.how == EndedDone || r.how == EndedFailed {
		return outcomeOf(r.how)
	}
	return o
}

func (r *leasedRun) over() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// finish notes how a run ended, once.
func (r *leasedRun) finish(how Ending) {
	if r.over() {
		return
	}
	r.how = how
	time.AfterFunc(answerGrace, r.settled)
	close(r.ended)
}

func (l *Leased) wasStopped(r *leasedRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.stopped > 0
}

func outcomeOf(how Ending) Outcome {
	switch how {
	case EndedDone:
		return Outcome{}
	case EndedFailed:
		return Outcome{Reason: reason.EndpointFailed, Detail: "the run failed"}
	case EndedStopped:
		return Outcome{Reason: reason.Cancelled, Detail: "the run was stopped"}
	case EndedLapsed:
		return Outcome{Reason: reason.LeaseLapsed, Detail: "the lease lapsed"}
	case EndedOtherwise:
		return Outcome{Reason: reason.EndpointGone, Detail: "the run was lost"}
	}
	return Outcome{Reason: reason.EndpointGone, Detail: "the run was lost"}
}
