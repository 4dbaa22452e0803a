package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Event is an input of the control state.
type Event interface{ event() }

// LinkOpened reports that an entry opened a link.
type LinkOpened struct {
	Link  uint64
	Entry string // incarnation
}

// LinkClosed reports that a link ended.
type LinkClosed struct{ Link uint64 }

// Received carries a message of an entry.
type Received struct {
	Link uint64
	Msg  *wirepb.ToAgent
}

// TaskEnded reports the outcome of a task that a Run action started.
type TaskEnded struct {
	Ref    Ref
	Result []byte
	// Reason is Unspecified for a task that succeeded.
	Reason reason.Reason
	Detail string
	// NotRun reports that the task certainly did not start at the endpoint.
	NotRun bool
	Took   time.Duration
}

// EndpointChanged reports that the endpoint announced itself, left, or became
// unreachable.
type EndpointChanged struct{ Endpoint Endpoint }

// Stop begins a planned stop: new starts are refused, running tasks finish.
type Stop struct{}

// Tick lets the state act on timeouts.
type Tick struct{}

func (LinkOpened) event()      {}
func (LinkClosed) event()      {}
func (Received) event()        {}
func (TaskEnded) event()       {}
func (EndpointChanged) event() {}
func (Stop) event()            {}
func (Tick) event()            {}

// Action is something that the agent must do after a step.
type Action interface{ action() }

// Send sends a message over a link.
type Send struct {
	Link uint64
	Msg  *wirepb.FromAgent
}

// Run hands a task to the endpoint.
type Run struct {
	Ref Ref
	// Name is the job's id as given by its caller; Step and Index are the place
	// of the task in the job, and Attempt is the number of its placement.
	Name    string
	Step    uint32
	Index   uint32
	Attempt uint32
	Kind    string
	Payload []byte
	// Stalls counts the earlier runs of the task that were stopped for lack of
	// progress.
	Stalls uint32
	// Until is the clock reading after which the task may no longer start.
	Until time.Duration
}

// Abort cancels a running task. TaskEnded must still report its outcome.
type Abort struct{ Ref Ref }

// Refused reports a refusal, for logs and counters.
type Refused struct {
	Ref    Ref
	Reason reason.Reason
}

func (Send) action()    {}
func (Run) action()     {}
func (Abort) action()   {}
func (Refused) action() {}

// Ref identifies one task of one job.
type Ref struct {
	Team string
	Job  string
	Task uint32
}
