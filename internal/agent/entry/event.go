package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Event is something that happened to the agent.
type Event interface{ event() }

// LinkOpened says that an entry opened a link.
type LinkOpened struct {
	Link  uint64
	Entry string // incarnation
}

// LinkClosed says that a link ended.
type LinkClosed struct{ Link uint64 }

// Received is a message of an entry.
type Received struct {
	Link uint64
	Msg  *wirepb.ToAgent
}

// TaskEnded is the outcome of a Run action.
type TaskEnded struct {
	Ref    Ref
	Result []byte
	// Reason is Unspecified for a task that succeeded.
	Reason reason.Reason
	Detail string
	// NotRun says that the endpoint is known not to have started the task.
	NotRun bool
	Took   time.Duration
}

// EndpointChanged says that the endpoint announced itself, left or was lost.
type EndpointChanged struct{ Endpoint Endpoint }

// Stop begins a planned stop: no new starts, running tasks finish.
type Stop struct{}

// Tick lets time pass.
type Tick struct{}

func (LinkOpened) event()      {}
func (LinkClosed) event()      {}
func (Received) event()        {}
func (TaskEnded) event()       {}
func (EndpointChanged) event() {}
func (Stop) event()            {}
func (Tick) event()            {}

// Action is something that the agent is to do.
type Action interface{ action() }

// Send sends a message over a link.
type Send struct {
	Link uint64
	Msg  *wirepb.FromAgent
}

// Run hands a task to the endpoint.
type Run struct {
	Ref Ref
	// Name is the job's id as its caller gave it; Step and Index are the place
	// of the task in it, and Attempt the number of its placement.
	Name    string
	Step    uint32
	Index   uint32
	Attempt uint32
	Kind    string
	Payload []byte
	// Stalls is how many runs of the task were stopped for want of progress.
	Stalls uint32
	// Until is the clock reading after which the task may not start any more.
	Until time.Duration
}

// Abort gives up waiting for a running task; its outcome must still be
// reported by TaskEnded.
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

// Ref names one task of one job.
type Ref struct {
	Team string
	Job  string
	Task uint32
}
