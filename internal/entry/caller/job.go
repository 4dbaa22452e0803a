package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// Key names a job.
type Key struct {
	Team string
	ID   string
}

// Job is what a caller submits. A single request is a job of one task.
type Job struct {
	Key
	Service string
	// Deadline is a reading of the entry's monotonic clock.
	Deadline time.Duration
	Tasks    []Task
	// Digest identifies the content; a resubmission must have the same.
	Digest [32]byte
	// Repeatable marks a request that may run more than once. It has no
	// claim, and an id of the entry's own making.
	Repeatable bool
	// First is the caller's statement that the id was never submitted before.
	First bool
	// Name is the id that the caller gave a repeatable job, whose key is of the
	// entry's own making.
	Name string
	// Attempts is how many runs of a task may fail before a repeatable job
	// does; 0 for a single request, which is retried within a budget.
	Attempts int
	// Priority orders the jobs of a service; 0 goes first.
	Priority int
	// Due is when the answer is to be there, a reading of the entry's clock;
	// 0 means no sooner than the deadline.
	Due time.Duration
	// After lists for each step the earlier ones that must be done first. A job
	// without it has one step.
	After [][]int
}

// Task is one task of a job.
type Task struct {
	Kind     string
	Payload  []byte
	Declared time.Duration
	MemoryMB int
	// Step is the step of the job that the task belongs to, and Index its place
	// in the step.
	Step  int
	Index int
	// Need is what the task takes of an endpoint that counts resources.
	Need resources.Resources
	// Label is what it requires of its endpoint, if anything.
	Label string
}

// Ticket names a caller that waits for an answer.
type Ticket uint64

// Answer is what a caller gets: every result, or a failure.
type Answer struct {
	Complete bool
	Results  [][]byte
	Reason   reason.Reason
	Detail   string
	// MayHaveRun says of a failure that a task may have been started.
	MayHaveRun bool
	// Refused says that the work was turned away before anything was done
	// for it.
	Refused bool
}

// phase is how far a job has come.
type phase int

//go:generate stringer -type=phase,taskState -linecomment -output=enum_string.go

const (
	proving    phase = iota // proving
	claiming                // claiming
	locating                // locating
	following               // following
	takingOver              // taking_over
	fencing                 // fencing
	active                  // running
	finished                // finished
)

// taskState is how far a task has come.
type taskState int

const (
	waiting taskState = iota // waiting
	sent                     // sent
	started                  // started
	done                     // done
)

// task is the control state of one task.
type task struct {
	Task
	state   taskState
	attempt uint32
	// generation is the claim under which the task was started.
	generation uint64
	on         *agent.Member
	result     []byte
	// failures counts the runs that failed by their own or the endpoint's fault.
	failures int
	// stalls counts the runs that were stopped because they made no progress.
	stalls uint32
	sentAt time.Duration
	// expected orders the tasks of a job, longest first.
	expected time.Duration
}

// job is the control state of one job.
type job struct {
	Job
	phase     phase
	tickets   []Ticket
	tasks     []task
	waiting   []int // tasks to be placed, longest first
	open      int   // tasks that are sent or started
	done      int
	cancelled bool
	answer    Answer
	ended     time.Duration

	seq        uint64 // position among this entry's claims
	token      string
	generation uint64
	roster     uint64
	claims     []*wirepb.Claim
	rowVersion uint64
	refusal    Answer // what to say once the claim has been looked up

	fences  map[string]fenceState // by agent incarnation
	giveUp  time.Duration         // when agents that have not answered count as lost
	unknown int                   // agents that can't answer
	inQueue bool
	arrived time.Duration
	traced  []traced // the longest runs
	ran     bool     // a run of a task has begun
	left    []int    // tasks without an outcome, by step
	timer   int      // place among the deadlines, -1 once off them
}

// fenceState is the state of one fence.
type fenceState int

const (
	fenceSent fenceState = iota
	fenceAnswered
	fenceLost
)

func (j *job) ref() *wirepb.JobRef {
	return &wirepb.JobRef{
		Team:       j.Team,
		JobId:      j.ID,
		Generation: j.generation,
		Owner:      j.owner(),
		ClaimSeq:   j.seq,
	}
}

// owner returns the entry incarnation that holds the latest claim.
func (j *job) owner() string { return j.claims[len(j.claims)-1].Owner }

// needOf returns what a task asks of an agent, whatever the rosters.
func (j *Job) needOf(t *Task) agent.Need {
	return agent.Need{
		Service:  j.Service,
		Kind:     t.Kind,
		MemoryMB: t.MemoryMB,
		Declared: t.Declared,
		Need:     t.Need,
		Label:    t.Label,
		Due:      j.Due,
		Claimed:  !j.Repeatable,
	}
}

func (j *job) need(i int) agent.Need {
	need := j.needOf(&j.tasks[i].Task)
	need.Roster = j.roster
	return need
}

func (j *job) taskRef(i int) agent.Ref {
	return agent.Ref{Team: j.Team, Job: j.ID, Task: i}
}

// row returns the claim row that this entry writes for the job.
func (j *job) row() *wirepb.ClaimRow {
	return &wirepb.ClaimRow{
		Generation: j.generation,
		Digest:     j.Digest[:],
		Token:      j.token,
		Claims:     j.claims,
	}
}

// results returns the results in the order of the tasks.
func (j *job) results() [][]byte {
	all := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		all[i] = j.tasks[i].result
	}
	return all
}
