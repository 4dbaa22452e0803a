package endpoint

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Orders are the requests to an endpoint that starts, stops and lists runs by
// request. All its runs share one lease, whose end is a reading of the
// endpoint's own clock. A request without a response may have been carried out,
// or may still be carried out, even after later requests. Each method returns a
// reading of the endpoint's clock, List within the Listing.
type RunController interface {
	// Start starts a run. It succeeds if the same run was started before.
	Start(ctx context.Context, s StartRequest) (time.Duration, error)
	// Stop stops a run. The endpoint refuses any later start of the run.
	Stop(ctx context.Context, r Run, fence uint64) (time.Duration, error)
	// List renews the lease and lists the runs.
	List(ctx context.Context, l ListRequest) (Listing, error)
}

// Run identifies one run of a task. Numbers increase from one run of a task to
// the next.
type Run struct {
	Job    string
	Step   uint32
	Index  uint32
	Number uint32
}

// String returns the run in the form that log lines use.
func (r Run) String() string {
	return fmt.Sprintf("%s.%d.%d/%d", r.Job, r.Step, r.Index, r.Number)
}

// withoutNumber returns the run with number 0, which identifies its task.
func (r Run) withoutNumber() Run {
	r.Number = 0
	return r
}

// StartOrder is a request to start a run under a lease that ends at Until on
// the endpoint's clock.
type StartRequest struct {
	Run      Run
	Payload  string
	LeaseEnd time.Duration
	Fence    uint64
}

// ListOrder is a request that renews the lease to Until, unless that is 0, lets
// the endpoint discard the ends up to number Seen, and waits up to Wait for
// another end.
type ListRequest struct {
	LeaseEnd    time.Duration
	LastSeenEnd uint64
	MaxWait     time.Duration
	Fence       uint64
}

// Listing is the response to a ListOrder: the runs, and the ends that were not
// discarded.
type Listing struct {
	Incarnation string        // changes when the endpoint restarts
	Clock       time.Duration // reading of the endpoint's clock
	Running     []Progress
	Ended       []End
}

// Progress is the percentage of a run that is complete.
type Progress struct {
	Run     Run
	Percent int
}

// End reports how a run ended. Numbers count from 1 in each incarnation of the
// endpoint.
type End struct {
	Number uint64
	Run    Run
	Ending Ending
}

// Ending is how a run ended.
type Ending int

//go:generate stringer -type=Ending,Rejection -linecomment -output=orders_string.go

// The values of Ending.
const (
	EndedUnknown Ending = iota // otherwise
	EndedDone                  // done
	EndedFailed                // failed
	EndedStopped               // stopped
	EndedLapsed                // lapsed
)

// Rejection is the reason for which an endpoint rejected a request.
type Rejection int

// The values of Rejection.
const (
	RejectedUnknown     Rejection = iota // otherwise
	RejectedFence                        // fence
	RejectedOldRun                       // old
	RejectedLeaseEnded                   // late
	RejectedNoRoom                       // room
	RejectedUnhealthy                    // unhealthy
	RejectedIncarnation                  // incarnation
	RejectedInvalid                      // bad
)

// RejectedError reports that the endpoint rejected a request and did nothing.
// Clock is a reading of the endpoint's clock, or 0 if it sent none.
type RejectedError struct {
	Rejection Rejection
	Clock     time.Duration
	Detail    string
}

// Error returns the reason for the rejection and its detail.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("endpoint rejected the request: %s %s", e.Rejection, e.Detail)
}

// asRejected returns the rejection that err is or wraps, if any.
func asRejected(err error) (*RejectedError, bool) {
	var r *RejectedError
	ok := errors.As(err, &r)
	return r, ok
}
