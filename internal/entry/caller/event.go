package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// Event is an input of State.Step.
type Event interface{ event() }

// Submit submits a job on behalf of a caller, which waits for the Reply to the
// ticket.
type Submit struct {
	Ticket Ticket
	Job    Job
}

// Await adds another entry to those that wait for the answer of a job, and
// cancels the job if Cancel is set. The response is a Reply, or JobNotFound if
// this entry has no record of the job.
type Await struct {
	Ticket Ticket
	Key    Key
	Digest []byte // of the job's content; not checked if nil
	Cancel bool
}

// Peek queries the status of a job. The response is JobStatus, or JobNotFound if
// this entry has no record of the job.
type Peek struct {
	Ticket Ticket
	Key    Key
}

// Disconnected reports that the caller of a ticket has disconnected. A
// claimed job continues; a repeatable job without other callers is cancelled.
type Disconnected struct{ Ticket Ticket }

// Interrupted reports that the entry did not run from a time until now, because the
// host was suspended or the process frozen. It precedes the events that waited
// meanwhile.
type Interrupted struct{ Since time.Duration }

// ClaimWritten reports that the claim row of a job was written.
type ClaimWritten struct {
	Key     Key
	Token   string
	Version uint64
}

// ClaimFound carries the claim row that a ReadClaim returned, or that made the
// table reject a WriteClaim.
type ClaimFound struct {
	Key     Key
	Token   string // of the rejected write; empty for a read
	Row     *wirepb.ClaimRow
	Version uint64
}

// ClaimAbsent reports that a ReadClaim found no row.
type ClaimAbsent struct{ Key Key }

// ClaimFailed reports that a read or write of the claim row of a job, or the read
// of the rosters for it, failed.
type ClaimFailed struct {
	Key   Key
	Token string // of the write that failed; empty for a read
}

// OwnerAnswered carries the answer that a job's owner sent.
type OwnerAnswered struct {
	Key    Key
	Answer Answer
}

// OwnerGone reports that a job's owner has ended, has been unreachable for too
// long, or has no record of the job.
type OwnerGone struct{ Key Key }

// RostersRead lists the agents that earlier owners of a job may have used.
type RostersRead struct {
	Key    Key
	Agents []*wirepb.RosterAgent
}

// RosterWritten reports that the table has stored the roster write with this
// number.
type RosterWritten struct{ WriteNumber uint64 }

// AgentAnnounced carries an agent's announcement.
type AgentAnnounced struct{ Info *wirepb.AgentInfo }

// LinkUp reports that a session of a link to an agent incarnation is open. Info
// describes the agent, and is nil if it has no endpoint.
type LinkUp struct {
	Agent   string
	Session uint64
	Info    *wirepb.AgentInfo
}

// LinkDown reports that a session of a link has ended or could not be opened. Gone is
// set if the incarnation is known to have ended.
type LinkDown struct {
	Agent   string
	Session uint64
	Gone    bool
}

// AgentMessage carries a message from an agent.
type AgentMessage struct {
	Agent string
	Msg   *wirepb.FromAgent
}

// ConfigurationLoaded carries the configuration document in force.
type ConfigurationLoaded struct{ Document document.Document }

// ViewConfirmed reports that the configuration document was current at the
// clock reading At.
type ViewConfirmed struct{ At time.Duration }

// TableAvailability reports whether the table service is available for claims.
type TableAvailability struct{ Available bool }

// PingAll pings every linked agent. The replies carry the configuration version
// in force at each agent.
type PingAll struct{}

// EntryCount reports how many live entries share the quotas.
type EntryCount struct{ Entries int }

// Stop begins a planned stop. New jobs are refused, unless they are certain enough
// to end by EndBy, a reading of the entry's clock. With 0 all are refused.
type Stop struct{ EndBy time.Duration }

// AbortJobs fails the open repeatable jobs at the end of a planned stop, so that
// their callers get an answer before the process ends. Claimed jobs are left to the
// entry that takes them over.
type AbortJobs struct{}

// Tick reports that time has passed.
type Tick struct{}

func (Submit) event()              {}
func (Await) event()               {}
func (Peek) event()                {}
func (Disconnected) event()        {}
func (Interrupted) event()         {}
func (ClaimWritten) event()        {}
func (ClaimFound) event()          {}
func (ClaimAbsent) event()         {}
func (ClaimFailed) event()         {}
func (OwnerAnswered) event()       {}
func (OwnerGone) event()           {}
func (RostersRead) event()         {}
func (RosterWritten) event()       {}
func (AgentAnnounced) event()      {}
func (LinkUp) event()              {}
func (LinkDown) event()            {}
func (AgentMessage) event()        {}
func (ConfigurationLoaded) event() {}
func (ViewConfirmed) event()       {}
func (TableAvailability) event()   {}
func (PingAll) event()             {}
func (EntryCount) event()          {}
func (AbortJobs) event()           {}
func (Stop) event()                {}
func (Tick) event()                {}

// Action is an output of State.Step that the host of the State carries out.
type Action interface{ action() }

// Reply sends the answer of a job to a ticket.
type Reply struct {
	Ticket Ticket
	Key    Key
	Answer Answer
}

// JobNotFound reports to a ticket that this entry has no record of the job.
type JobNotFound struct{ Ticket Ticket }

// JobStatus reports the status of a job to the ticket of a Peek. Answer is set
// once the job has finished.
type JobStatus struct {
	Ticket   Ticket
	Progress *wirepb.JobProgress
	Finished bool
	Answer   Answer
}

// WriteClaim writes a claim row if the stored row has the expected version.
type WriteClaim struct {
	Key       Key
	Row       *wirepb.ClaimRow
	IfVersion uint64
	Deadline  time.Duration
}

// ReadClaim reads the claim row of a job.
type ReadClaim struct{ Key Key }

// AwaitOwner requests the answer of a job from the entry that owns it, and
// cancels the job there if Cancel is set. The result is reported as
// OwnerAnswered or OwnerGone.
type AwaitOwner struct {
	Key    Key
	Owner  string
	Digest [32]byte
	Cancel bool
}

// ReadRosters reads the rosters of the given entry incarnations.
type ReadRosters struct {
	Key    Key
	Owners []string
}

// WriteRoster writes this entry's roster. RosterWritten reports the same
// WriteNumber once the write is stored.
type WriteRoster struct {
	WriteNumber uint64
	Agents      []*wirepb.RosterAgent
}

// OpenLink opens a link to an agent incarnation and keeps it open until
// CloseLink.
type OpenLink struct {
	Agent   string
	Address string
}

// CloseLink closes the link to an agent incarnation permanently.
type CloseLink struct{ Agent string }

// ResetLink closes the connection of a session, and opens a new one. It does nothing
// if the session has ended.
type ResetLink struct {
	Agent   string
	Session uint64
}

// SendToAgent sends a message to an agent in a session, unless that has ended. The next
// one may be open before the events of both are handled.
type SendToAgent struct {
	Agent   string
	Session uint64
	Msg     *wirepb.ToAgent
}

// RecordCount counts and logs an occurrence.
type RecordCount struct {
	Count  Count
	Reason reason.Reason
	Ref    agent.TaskRef
	Agent  string
	// Job is the state of the job if the occurrence concerns a whole job, and
	// nil otherwise.
	Job *JobTrace
}

// AdmissionDecided counts the decision about a job with a due time.
type AdmissionDecided struct {
	Verdict   admission.Verdict
	Displaced int // waiting jobs that were refused in favor of it
}

// RecordStartWait records how long a task waited for its first start.
type RecordStartWait struct {
	Size  Size
	Width Width
	Wait  time.Duration
}

// JobTrace is the state of a job at the time of a decision about it, for logs.
type JobTrace struct {
	CallerJobID     string        // the id that the caller gave
	Detail          string        // of the answer
	Age             time.Duration // since the job arrived
	DueIn           time.Duration // until it is due, negative once that has passed; 0 without a due time
	DeadlineIn      time.Duration // until its deadline
	Tasks           int
	DoneTasks       int
	TasksAtAgents   int
	QueuedTasks     int    // tasks of all jobs that wait to be placed
	ReachableAgents int    // agents that accept tasks
	ConfigVersion   uint64 // of the configuration document in force
	LongestRuns     string // agent and times of the longest runs
	FailedRuns      int    // of all tasks
	// Admission are the inputs that determined the refusal of a job with a due time;
	// nil if it was refused for another reason.
	Admission *admission.Inputs
}

// Count is the kind of occurrence that a RecordCount action counts and logs. The
// trailing comment of each value is its text.
type Count int

//go:generate stringer -type=Count -linecomment -output=count_string.go

// The values of Count.
const (
	Refusal    Count = iota // refusal
	Failure                 // failure
	Retry                   // retry
	Finished                // finished
	TakeOver                // take_over
	SilentLink              // silent_link
	// UnownedTask is a repeatable task that an agent has and this entry has not
	// placed there.
	UnownedTask // unowned_task
	// UnownedResult is the result of a repeatable task that this entry has not placed
	// at the agent, or not any more.
	UnownedResult // unowned_result
	// Joined is a submission of a job that is open at this entry already.
	Joined // joined
)

func (Reply) action()           {}
func (JobNotFound) action()     {}
func (JobStatus) action()       {}
func (WriteClaim) action()      {}
func (ReadClaim) action()       {}
func (AwaitOwner) action()      {}
func (ReadRosters) action()     {}
func (WriteRoster) action()     {}
func (OpenLink) action()        {}
func (CloseLink) action()       {}
func (ResetLink) action()       {}
func (SendToAgent) action()     {}
func (RecordCount) action()     {}
func (RecordStartWait) action() {}

func (AdmissionDecided) action() {}
