package endpoint

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/transport/clock"
)

func (l *LeasedRunner) listRuns(ctx context.Context, request ListRequest) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, request.MaxWait+requestTimeout)
	defer cancel()
	listing, err := l.Controller.List(ctx, request)
	l.recordFailure(ctx, err)
	return listing, err
}

// sendRequest sends one start or stop request and processes the clock reading or
// the rejection in its response.
func (l *LeasedRunner) sendRequest(ctx context.Context, send func(context.Context) (time.Duration, error)) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	endpointClock, err := send(ctx)
	if err == nil {
		l.mu.Lock()
		l.setEndpointClock(endpointClock)
		l.mu.Unlock()
	}
	l.recordFailure(ctx, err)
	return err
}

// recordFailure processes the error of a request that was sent with ctx.
func (l *LeasedRunner) recordFailure(ctx context.Context, err error) {
	if err == nil {
		return
	}
	if r, ok := asRejected(err); ok {
		l.handleRejection(r)
		return
	}
	if ctx.Err() == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.brokenAt = clock.SinceBoot()
	}
}

// handleRejection processes the rejection of a request. The fencing token is
// derived from the endpoint's clock when this agent first contacted it. It is
// therefore higher than that of any earlier agent, even if this host's clock was
// reset or its storage was lost.
func (l *LeasedRunner) handleRejection(r *RejectedError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Rejection == RejectedIncarnation {
		l.gone, l.restarted = true, true
		return
	}
	l.setEndpointClock(r.Clock)
	if r.Rejection == RejectedFence && r.Clock > 0 && !l.closed {
		// The endpoint may have received a higher token in a request for an earlier
		// incarnation, whose clock was ahead.
		l.fenceStep = max(1, 2*l.fenceStep)
		l.fence = max(l.fence+l.fenceStep, uint64(r.Clock.Milliseconds())+1)
		l.Log.Info("fencing token raised after rejection by endpoint", zap.Uint64("fence", l.fence), zap.Duration("endpoint_clock", r.Clock))
	}
}

// Fence returns the fencing token of the requests, or 0 before the first listing.
func (l *LeasedRunner) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}
