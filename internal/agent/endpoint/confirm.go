package endpoint

import (
	"cmp"
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"
)

// ErrOtherIncarnation means that another incarnation of an endpoint answers at the
// address of an announcement.
var ErrOtherIncarnation = errors.New("another incarnation answers at the announced address")

// Confirmation checks whether the incarnation of an endpoint that was announced exists.
type Confirmation struct {
	Controller RunController
	Announced  Announcement
	// Fence is the fencing token of the first request. An endpoint that is in use
	// rejects lower ones than that of its runner.
	Fence uint64
}

// Await lists the runs of the endpoint until a listing shows its incarnation, and
// returns nil if that is the announced one. Otherwise it returns ErrOtherIncarnation, or
// the error of the last request if ctx ends before a listing.
func (c Confirmation) Await(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.Multiplier = requestRetryDelay, silenceTimeout, 2
	fence, step := c.Fence, uint64(0)
	var last error
	list := func() (struct{}, error) {
		last = c.list(ctx, fence)
		if errors.Is(last, ErrOtherIncarnation) {
			return struct{}{}, backoff.Permanent(last)
		}
		if r, ok := asRejected(last); ok && r.Rejection == RejectedFence {
			step = max(1, 2*step)
			fence = max(fence+step, uint64(r.Clock.Milliseconds())+1)
		}
		return struct{}{}, last
	}
	// It retries until ctx ends, so that its error is last or that of ctx.
	_, err := backoff.Retry(ctx, list, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(0))
	return cmp.Or(last, err)
}

// list lists the runs once. It doesn't renew the lease.
func (c Confirmation) list(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	listing, err := c.Controller.List(ctx, ListRequest{Fence: fence})
	rejected, ok := asRejected(err)
	switch {
	case ok && rejected.Rejection == RejectedIncarnation, err == nil && listing.Incarnation != c.Announced.Incarnation():
		return ErrOtherIncarnation
	}
	return err
}
