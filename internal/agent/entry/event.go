package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// Event is an input of the control state.
type Event interface{ event() }

// LinkOpened reports that an entry opened a link. Links are numbered by the
// agent.
type LinkOpened struct {
	Link  uint64
	Entry string // incarnation
}

// LinkClosed reports that a link ended.
type LinkClosed struct{ Link uint64 }

// MessageReceived carries a message from an entry.
type MessageReceived struct {
	Link uint64
	Msg  *wirepb.ToAgent
}

// TaskEnded reports the outcome of a task that a StartTask action started.
type TaskEnded struct {
	Ref    TaskRef
	Result []byte
	// Reason is Unspecified for a task that succeeded.
	Reason reason.Reason
	Detail string
	// NotRun reports that the task certainly did not start at the endpoint.
	NotRun bool
	// Took is how long the task ran.
	Took time.Duration
}

// EndpointChanged reports the new state of the endpoint after it announced
// itself, left, or became reachable or unreachable.
type EndpointChanged struct{ Endpoint Endpoint }

// HomesChanged reports the entries, by incarnation, whose links the agent
// releases, because it has links to all entries that it has selected.
type HomesChanged struct{ Released []string }

// Stop begins a planned stop: new starts are refused, running tasks finish.
type Stop struct{}

// Tick is sent at regular intervals, so that timeouts take effect when no other
// event arrives.
type Tick struct{}

func (LinkOpened) event()      {}
func (LinkClosed) event()      {}
func (MessageReceived) event() {}
func (TaskEnded) event()       {}
func (EndpointChanged) event() {}
func (HomesChanged) event()    {}
func (Stop) event()            {}
func (Tick) event()            {}

// Action is something that the agent must do after a step.
type Action interface{ action() }

// Send sends a message over a link.
type Send struct {
	Link uint64
	Msg  *wirepb.FromAgent
}

// StartTask starts a task at the endpoint.
type StartTask struct {
	Ref TaskRef
	// Endpoint is the number of the endpoint's incarnation that runs the task. The
	// task must not start at another one.
	Endpoint uint64
	// SilentEntry is the incarnation of the entry whose silence ends the task. It is
	// empty if the task does not stop on silence.
	SilentEntry string
	// CallerJobID is the id that the caller gave the job. It is empty unless the
	// job is repeatable.
	CallerJobID string
	// Step is the step of the job that the task belongs to, and Index is the
	// index of the task in the step.
	Step  uint32
	Index uint32
	// Attempt is the number of the task's placement.
	Attempt uint32
	Kind    string
	Payload []byte
	// Stalls counts the earlier runs of the task that were stopped for lack of
	// progress.
	Stalls uint32
	// StartDeadline is the clock reading after which the task may no longer start.
	StartDeadline time.Duration
}

// CancelTask cancels a running task. The agent must still report its outcome by
// TaskEnded.
type CancelTask struct{ Ref TaskRef }

// EndLink ends a link, so that the entry opens another one. The first message of that
// describes the present endpoint.
type EndLink struct{ Link uint64 }

// RecordRefusal counts and logs the refusal of a start.
type RecordRefusal struct {
	Ref    TaskRef
	Reason reason.Reason
}

// RecordPlacement counts and logs that a queued task is reserved capacity, is held for
// a reserved task, or starts before one.
type RecordPlacement struct {
	Ref     TaskRef
	Verdict backfill.Verdict
	Need    resources.Resources
	Free    resources.Resources // before the start of this task
	// QueuedFor is the time since the task was queued.
	QueuedFor time.Duration
	// FitsIn is the time until the reserved task is expected to fit, and HoldLimit is
	// how long tasks may be held for it.
	FitsIn    time.Duration
	HoldLimit time.Duration
	Running   int
	Ratio     float32 // of measured run times to declared ones, 0 if not known
}

func (Send) action()            {}
func (StartTask) action()       {}
func (CancelTask) action()      {}
func (EndLink) action()         {}
func (RecordRefusal) action()   {}
func (RecordPlacement) action() {}

// TaskRef identifies one task of one job.
type TaskRef struct {
	Team string
	Job  string
	Task uint32
}
