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
	// startResponseGrace is how long the runner waits for the response to a
	// start request after a listing has shown the run or its end. Cancelling the
	// request at once would close its connection.
	startResponseGrace = 15 * time.Millisecond
	// maxStartAttempts limits the requests to start one run.
	maxStartAttempts = 12
)

var (
	// errStartWithdrawn means that a run is not to start any more.
	errStartWithdrawn = errors.New("the start was withdrawn")
	// errReplaced means that another incarnation answers in place of the endpoint.
	errReplaced = errors.New("another incarnation of the endpoint has answered")
)

// startRun sends start requests until one is acknowledged, the endpoint refuses
// the start, or the attempts are used up. It returns an outcome only if the run
// certainly did not start.
func (l *LeasedRunner) startRun(ctx context.Context, r *leasedRun, t Task) *Outcome {
	unanswered := false // a request without a response may still be carried out
	for range maxStartAttempts {
		if l.startAcked(r) {
			return nil
		}
		if r.hasEnded() {
			break
		}
		sent, err := l.sendStart(ctx, r, t)
		if err == nil {
			return nil
		}
		if errors.Is(err, errStartWithdrawn) || errors.Is(err, errReplaced) {
			break
		}
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if refused {
			l.setRefused()
		}
		if refused && !unanswered {
			return &Outcome{Reason: reason.EndpointGone, Detail: "the endpoint refused the connection", NotRun: true}
		}
		rejected, ok := asRejected(err)
		if !ok {
			unanswered = unanswered || sent
			pause.For(ctx, requestRetryDelay)
			continue
		}
		switch rejected.Rejection {
		case RejectedOldRun:
			l.renumber(r)
		case RejectedFence, RejectedLeaseEnded:
		case RejectedNoRoom, RejectedUnhealthy, RejectedIncarnation, RejectedInvalid, RejectedUnknown:
			if unanswered {
				return nil // the stop request will show whether an earlier start was carried out
			}
			return &Outcome{Reason: refusalReason(rejected.Rejection), Detail: rejected.Error(), NotRun: true}
		}
	}
	if unanswered {
		return nil
	}
	if l.isGone() {
		return &Outcome{Reason: reason.EndpointGone, Detail: "the endpoint has restarted", NotRun: true}
	}
	return &Outcome{Reason: reason.EndpointRefused, Detail: "the endpoint did not accept the start", NotRun: true}
}

// sendStart sends one start request, unless the run is not to start any more or the
// endpoint has not confirmed its incarnation. It reports whether a request was sent.
func (l *LeasedRunner) sendStart(ctx context.Context, r *leasedRun, t Task) (sent bool, err error) {
	if err := l.confirmIncarnation(ctx); err != nil {
		return false, err
	}
	// The lease is set before the check, so that it also bounds a pause of the
	// process between the check and the request.
	request, ok := l.newStartRequest(r, t)
	if !ok || ctx.Err() != nil || l.isClosed() || t.MayStart != nil && !t.MayStart() {
		return false, errStartWithdrawn
	}
	err = l.sendRequest(ctx, func(ctx context.Context) (time.Duration, error) {
		return l.Controller.Start(ctx, request)
	})
	if err != nil {
		l.CountEvent("starts_" + failureEvent(err))
		return true, err
	}
	l.mu.Lock()
	r.startAckedAt = clock.SinceBoot()
	l.mu.Unlock()
	return true, nil
}

// confirmIncarnation lists the runs if the endpoint may have restarted since the latest
// listing: a connection broke, the endpoint was silent, or this process was paused. The
// next incarnation can have the id of the one before, and would accept a start that was
// decided on by the labels and the resources of the latter. A time-out alone is no sign
// of a restart, which closes the connections.
func (l *LeasedRunner) confirmIncarnation(ctx context.Context) error {
	l.mu.Lock()
	confirmed := l.listedAt > l.brokenAt && clock.SinceBoot()-l.listedAt <= silenceTimeout
	request := ListRequest{LastSeenEnd: l.lastSeenEnd, Fence: l.fence}
	l.mu.Unlock()
	if confirmed {
		return nil
	}
	l.CountEvent("incarnation_checks")
	requestedAt := clock.SinceBoot()
	listing, err := l.listRuns(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return err
	}
	if listing.Incarnation != l.incarnation {
		l.gone, l.restarted = true, true
		return errReplaced
	}
	l.listedAt = max(l.listedAt, requestedAt)
	l.setEndpointClock(listing.Clock)
	return nil
}

// newStartRequest returns a request to start a run. It returns false if the run has
// ended or the endpoint is gone, so that no lease is extended for it.
func (l *LeasedRunner) newStartRequest(r *leasedRun, t Task) (StartRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.hasEnded() || l.gone {
		return StartRequest{}, false
	}
	r.startSentAt = clock.SinceBoot()
	return StartRequest{Run: r.run, Payload: string(t.Payload), LeaseEnd: l.extendLease(), Fence: l.fence}, true
}

// renumber gives the run the next number.
func (l *LeasedRunner) renumber(r *leasedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.run.Number++
	l.highestNumbers[r.run.withoutNumber()] = r.run.Number
}

func (l *LeasedRunner) startAcked(r *leasedRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.startAckedAt > 0
}

func (l *LeasedRunner) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// failureEvent returns the part of the event name that states how a request
// failed.
func failureEvent(err error) string {
	if r, ok := asRejected(err); ok {
		return "rejected_" + r.Rejection.String()
	}
	return "unanswered"
}

func refusalReason(rejection Rejection) reason.Reason {
	switch rejection {
	case RejectedNoRoom:
		return reason.AgentBusy
	case RejectedIncarnation:
		return reason.EndpointGone
	default:
		return reason.EndpointRefused
	}
}
