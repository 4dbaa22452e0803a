package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// Event is something that happened to the entry.
type Event interface{ event() }

// Submit is a job of a caller, who waits under a ticket.
type Submit struct {
	Ticket Ticket
	Job    Job
}

// Wait joins the callers that wait for a job that this entry holds, on behalf
// of another entry. It is answered by a Reply, or by Unknown.
type Wait struct {
	Ticket Ticket
	Key    Key
	Digest []byte // checked when given
	Cancel bool
}

// Peek asks for the state of a job. It is answered by Peeked, or by Unknown.
type Peek struct {
	Ticket Ticket
	Key    Key
}

// Leave says that the caller under a ticket has gone. The job goes on.
type Leave struct {
	Ticket Ticket
	Key    Key
}

// ClaimWritten says that a claim row was written.
type ClaimWritten struct {
	Key     Key
	Token   string
	Version uint64
}

// ClaimFound says that a claim row already exists, written by somebody else.
type ClaimFound struct {
	Key     Key
	Token   string // of the write that found it, if any
	Row     *wirepb.ClaimRow
	Version uint64
}

// ClaimAbsent answers ReadClaim when there is no row.
type ClaimAbsent struct{ Key Key }

// ClaimFailed says that the table service could not be asked.
type ClaimFailed struct {
	Key   Key
	Token string // of the write that failed, if any
}

// OwnerAnswered is the answer of a job's owner.
type OwnerAnswered struct {
	Key    Key
	Answer Answer
}

// OwnerGone says that a job's owner is gone or does not know the job.
type OwnerGone struct{ Key Key }

// RostersRead lists the agents that earlier owners may have used.
type RostersRead struct {
	Key    Key
	Agents []*wirepb.RosterAgent
}

// RosterWritten says that a roster is in the table.
type RosterWritten struct{ Write uint64 }

// Announced is an agent's announcement.
type Announced struct{ Info *wirepb.AgentInfo }

// LinkUp says that a link to an agent incarnation is open. Info describes the
// agent, unless it has no endpoint.
type LinkUp struct {
	Agent string
	Info  *wirepb.AgentInfo
}

// LinkDown says that a link has ended or could not be opened. Gone says that
// the incarnation is known not to exist any more.
type LinkDown struct {
	Agent string
	Gone  bool
}

// AgentSaid is a message of an agent.
type AgentSaid struct {
	Agent string
	Msg   *wirepb.FromAgent
}

// Configured brings a newer configuration document.
type Configured struct{ Document document.Document }

// ViewConfirmed says that the document was current at a clock reading.
type ViewConfirmed struct{ At time.Duration }

// TableState says whether the table service takes claims.
type TableState struct{ Up bool }

// PingAll asks every agent for a report, which carries the configuration
// version in force there.
type PingAll struct{}

// EntryCount says how many live entries share the quotas.
type EntryCount struct{ Entries int }

// Stop begins a planned stop.
type Stop struct{}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()        {}
func (Wait) event()          {}
func (Peek) event()          {}
func (Leave) event()         {}
func (ClaimWritten) event()  {}
func (ClaimFound) event()    {}
func (ClaimAbsent) event()   {}
func (ClaimFailed) event()   {}
func (OwnerAnswered) event() {}
func (OwnerGone) event()     {}
func (RostersRead) event()   {}
func (RosterWritten) event() {}
func (Announced) event()     {}
func (LinkUp) event()        {}
func (LinkDown) event()      {}
func (AgentSaid) event()     {}
func (Configured) event()    {}
func (ViewConfirmed) event() {}
func (TableState) event()    {}
func (PingAll) event()       {}
func (EntryCount) event()    {}
func (Stop) event()          {}
func (Tick) event()          {}

// Action is something that the entry is to do.
type Action interface{ action() }

// Reply answers a ticket.
type Reply struct {
	Ticket Ticket
	Key    Key
	Answer Answer
}

// Unknown answers a ticket whose job this entry does not hold.
type Unknown struct{ Ticket Ticket }

// Peeked answers a Peek.
type Peeked struct {
	Ticket   Ticket
	Progress *wirepb.JobProgress
	Finished bool
	Answer   Answer
}

// WriteClaim writes a claim row if it has the expected version.
type WriteClaim struct {
	Key       Key
	Row       *wirepb.ClaimRow
	IfVersion uint64
	Deadline  time.Duration
}

// ReadClaim reads a claim row.
type ReadClaim struct{ Key Key }

// AskOwner waits for the answer of a job at its owner.
type AskOwner struct {
	Key    Key
	Owner  string
	Digest [32]byte
	Cancel bool
}

// ReadRosters reads the rosters of entry incarnations.
type ReadRosters struct {
	Key    Key
	Owners []string
}

// WriteRoster writes this entry's roster.
type WriteRoster struct {
	Write  uint64
	Agents []*wirepb.RosterAgent
}

// OpenLink keeps a link to an agent incarnation until CloseLink.
type OpenLink struct {
	Agent   string
	Address string
}

// CloseLink ends the link to an agent incarnation for good.
type CloseLink struct{ Agent string }

// ResetLink drops the connection of a link and opens a new one.
type ResetLink struct{ Agent string }

// SendAgent sends a message to an agent.
type SendAgent struct {
	Agent string
	Msg   *wirepb.ToAgent
}

// Counted reports something for counters and logs.
type Counted struct {
	What   Count
	Reason reason.Reason
	Ref    agent.Ref
	Agent  string
	// Job tells what decided, for a decision about a whole job; nil otherwise.
	Job *JobTrace
}

// JobTrace is what the entry knew of a job when it decided about it.
type JobTrace struct {
	Name     string // the caller's id
	Detail   string
	Age      time.Duration // since the job arrived
	DueIn    time.Duration // until it is due; negative when that has passed
	LeftIn   time.Duration // until its deadline
	Tasks    int
	Done     int
	Open     int
	Queued   int    // tasks of all jobs that wait at the entry
	Agents   int    // agents that take tasks
	Version  uint64 // of the configuration
	Runs     string // agent and run time of the tasks that took longest
	Failures int    // runs that failed
}

// Count is what a Counted action counts.
type Count int

//go:generate stringer -type=Count -linecomment -output=count_string.go

// The things that are counted.
const (
	Refusal  Count = iota // refusal
	Failure               // failure
	Retry                 // retry
	Finished              // finished
	TakeOver              // take_over
	Silent                // silent_link
)

func (Reply) action()       {}
func (Unknown) action()     {}
func (Peeked) action()      {}
func (WriteClaim) action()  {}
func (ReadClaim) action()   {}
func (AskOwner) action()    {}
func (ReadRosters) action() {}
func (WriteRoster) action() {}
func (OpenLink) action()    {}
func (CloseLink) action()   {}
func (ResetLink) action()   {}
func (SendAgent) action()   {}
func (Counted) action()     {}
