package endpoint

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Orders are the calls of an endpoint that is told what to start and stop, and
// lists what it runs. Whatever it runs holds one common lease, which ends on
// the endpoint's own clock. A call without an answer may have been carried out,
// or may yet be, after newer calls.
type Orders interface {
	// Start begins a run. It succeeds if the same run is there already.
	Start(ctx context.Context, s StartOrder) (time.Duration, error)
	// Stop ends a run. One that isn't there yet is refused from then on.
	Stop(ctx context.Context, r Run, fence uint64) (time.Duration, error)
	// List renews the lease and lists the runs.
	List(ctx context.Context, l ListOrder) (Listing, error)
}

// Run names one run of a task. Numbers of a task's runs rise.
type Run struct {
	Job    string
	Step   uint32
	Index  uint32
	Number uint32
}

// String returns the run for logs.
func (r Run) String() string {
	return fmt.Sprintf("%s.%d.%d/%d", r.Job, r.Step, r.Index, r.Number)
}

// task returns the run without its number.
func (r Run) task() Run {
	r.Number = 0
	return r
}

// StartOrder begins a run under a lease that ends at Until on the endpoint's
// clock.
type StartOrder struct {
	Run     Run
	Payload string
	Until   time.Duration
	Fence   uint64
}

// ListOrder renews the lease to Until, unless that is 0, lets the endpoint
// forget the ends up to Seen, and waits up to Wait for another.
type ListOrder struct {
	Until time.Duration
	Seen  uint64
	Wait  time.Duration
	Fence uint64
}

// Listing is what an endpoint runs, and the ends that it has not forgotten.
type Listing struct {
	Incarnation string        // changes when the endpoint starts again
	Clock       time.Duration // of the endpoint
	Running     []Progress
	Ended       []End
}

// Progress is how far a run has come.
type Progress struct {
	Run     Run
	Percent int
}

// End is how a run ended. Numbers of ends rise from 1 in each life of the
// endpoint.
type End struct {
	Number uint64
	Run    Run
	How    Ending
}

// Ending is the way in which a run ended.
type Ending int

//go:generate stringer -type=Ending,Rejection -linecomment -output=orders_string.go

// The endings.
const (
	EndedOtherwise Ending = iota // otherwise
	EndedDone                    // done
	EndedFailed                  // failed
	EndedStopped                 // stopped
	EndedLapsed                  // lapsed
)

// Rejection is why an endpoint did nothing for an order.
type Rejection int

// The rejections.
const (
	RejectedOtherwise   Rejection = iota // otherwise
	RejectedFence                        // fence
	RejectedOld                          // old
	RejectedLate                         // late
	RejectedRoom                         // room
	RejectedUnhealthy                    // unhealthy
	RejectedIncarnation                  // incarnation
	RejectedBad                          // bad
)

// RejectedError says that the endpoint did nothing for an order. Clock is the
// endpoint's clock, or 0.
type RejectedError struct {
	Why    Rejection
	Clock  time.Duration
	Detail string
}

// Error names the rejection.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("endpoint rejected the order: %s %s", e.Why, e.Detail)
}

// rejection returns the rejection that err is, if it is one.
func rejection(err error) (*RejectedError, bool) {
	var r *RejectedError
	ok := errors.As(err, &r)
	return r, ok
}
