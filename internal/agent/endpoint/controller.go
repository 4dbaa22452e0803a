package endpoint

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// RunController sends requests to an endpoint that runs tasks under a lease. All
// runs of the endpoint share one lease, whose end is a reading of the endpoint's
// own clock. A request without a response may have been carried out, or may
// still be carried out, even after later requests. Each method returns a reading
// of the endpoint's clock; that of List is in the Listing.
type RunController interface {
	// Start starts a run. It succeeds if the same run was started before.
	Start(ctx context.Context, s StartRequest) (time.Duration, error)
	// Stop stops a run. The endpoint rejects any later start of the run.
	Stop(ctx context.Context, r Run, fence uint64) (time.Duration, error)
	// List renews the lease and lists the runs and their ends.
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

// StartRequest is a request to start a run and to extend the lease.
type StartRequest struct {
	Run      Run
	Payload  string
	LeaseEnd time.Duration // reading of the endpoint's clock
	Fence    uint64
}

// ListRequest is a request to renew the lease and to list the runs.
type ListRequest struct {
	LeaseEnd    time.Duration // reading of the endpoint's clock; 0 does not renew the lease
	LastSeenEnd uint64        // the endpoint may discard the ends up to this number
	MaxWait     time.Duration // how long the endpoint may wait for an end to report
	Fence       uint64
}

// Listing is the response to a ListRequest: the active runs, and the ends that
// were not discarded.
type Listing struct {
	Incarnation string        // changes when the endpoint restarts; as in Announcement.Incarnation
	Clock       time.Duration // reading of the endpoint's clock
	Running     []Progress
	Ended       []End
}

// Progress reports the percentage of a run that is complete.
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

//go:generate stringer -type=Ending,Rejection -linecomment -output=controller_string.go

// The values of Ending.
const (
	EndedUnknown Ending = iota // otherwise
	EndedDone                  // done
	EndedFailed                // failed
	EndedStopped               // stopped
	EndedLapsed                // lapsed
	EndedCrashed               // crashed
)

// Rejection is the reason why an endpoint rejected a request.
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
