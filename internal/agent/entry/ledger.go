package entry

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// maxDroppedOwners bounds the number of owners for which the highest dropped
// claim is kept.
const maxDroppedOwners = 8192

// LedgerOptions limit the size and the age of the start ledger.
type LedgerOptions struct {
	// Jobs is the maximum number of job records.
	Jobs int
	// ResultBytes is the maximum total size of the stored results.
	ResultBytes int
	// Retention is how long the record of a job without open tasks is kept
	// after its last use.
	Retention time.Duration
}

// taskState is the state of a task in the ledger.
type taskState int

const (
	stateQueued taskState = iota
	stateRunning
	stateDone
	stateFailed
	stateRefused
)

// taskRecord is the ledger's entry for one task. The record of a refused task
// stays as a tombstone, so that a duplicate of its start message is refused as
// well.
type taskRecord struct {
	ref         TaskRef
	job         *jobRecord
	generation  uint64
	attempt     uint32
	sender      string // incarnation of the entry that sent the start
	state       taskState
	kind        string
	payload     []byte
	callerJobID string
	step        uint32
	index       uint32
	needs       resources.Resources
	stalls      uint32        // earlier runs of the task that were stopped for lack of progress
	repeatable  bool          // whether the task may run more than once; it is stopped when its sender falls silent
	queuedAt    time.Duration // when the task entered the queue
	cancelled   bool          // whether a CancelTask action was issued for the task
	result      []byte
	reason      reason.Reason
	detail      string
	took        time.Duration // how long the task ran
	declared    time.Duration // declared run time, 0 if there is none
	urgency     urgency
	verdict     backfill.Verdict // latest one that was recorded
	startedAt   time.Duration    // when the task was handed to the endpoint
	endpoint    uint64           // Endpoint.Number as of then
	expected    time.Duration    // expected run time as of then
}

// jobRecord is the ledger's entry for one job.
type jobRecord struct {
	key            jobKey
	generation     uint64
	claims         []*wirepb.Claim // claims under which messages about the job have arrived
	tasks          map[uint32]*taskRecord
	watchers       []string      // incarnations of the entries that receive updates of the job's tasks
	openTasks      int           // number of queued and running tasks
	mayLackHistory bool          // an earlier record of the job may have been dropped
	lastUsed       time.Duration // when a message or an outcome last used the record
	element        *list.Element // of ledger.byLastUse
}

// orderedTasks returns the records of the job's tasks, ordered by task.
func (j *jobRecord) orderedTasks() []*taskRecord {
	ordered := make([]*taskRecord, 0, len(j.tasks))
	for _, task := range slices.Sorted(maps.Keys(j.tasks)) {
		ordered = append(ordered, j.tasks[task])
	}
	return ordered
}

type jobKey struct {
	team string
	id   string
}

// ledger records the starts that the agent has received. Records beyond the
// retention or the size limits are dropped, least recently used first. For each
// owner the ledger keeps the highest claim that it has dropped: a later message
// under such a claim is refused instead of being handled as new.
type ledger struct {
	opts          LedgerOptions
	jobs          map[jobKey]*jobRecord
	byLastUse     *list.List        // of *jobRecord, least recently used first
	resultBytes   int               // total size of the stored results
	droppedClaims map[string]uint64 // highest dropped claim sequence number, by owner
	droppedOwners []string          // keys of droppedClaims, oldest first
}

func newLedger(o LedgerOptions) *ledger {
	return &ledger{
		opts:          o,
		jobs:          map[jobKey]*jobRecord{},
		byLastUse:     list.New(),
		droppedClaims: map[string]uint64{},
	}
}

// getOrAddJob returns the record of a job, which it adds if there is none, and
// marks it as the most recently used.
func (l *ledger) getOrAddJob(now time.Duration, ref *wirepb.JobRef) *jobRecord {
	key := jobKey{team: ref.Team, id: ref.JobId}
	j := l.jobs[key]
	if j == nil {
		j = &jobRecord{key: key, tasks: map[uint32]*taskRecord{}}
		j.element = l.byLastUse.PushBack(j)
		l.jobs[key] = j
	}
	j.lastUsed = now
	l.byLastUse.MoveToBack(j.element)
	l.addClaim(j, &wirepb.Claim{Owner: ref.Owner, ClaimSeq: ref.ClaimSeq})
	return j
}

// mayHaveDropped reports whether a job record under the claim may have been
// dropped.
func (l *ledger) mayHaveDropped(owner string, seq uint64) bool {
	return seq <= l.droppedClaims[owner]
}

// setResult stores the result of a task and adds its size to the total.
func (l *ledger) setResult(r *taskRecord, result []byte) {
	r.result = result
	l.resultBytes += len(result)
}

// evict drops records beyond the retention or the size limits. Jobs with open
// tasks stay.
func (l *ledger) evict(now time.Duration) {
	for e := l.byLastUse.Front(); e != nil; {
		j := e.Value.(*jobRecord)
		e = e.Next()
		expired := now-j.lastUsed > l.opts.Retention
		overLimit := len(l.jobs) > l.opts.Jobs || l.resultBytes > l.opts.ResultBytes
		if !expired && !overLimit {
			return
		}
		if j.openTasks == 0 {
			l.dropJob(j)
		}
	}
}

func (l *ledger) dropJob(j *jobRecord) {
	l.byLastUse.Remove(j.element)
	delete(l.jobs, j.key)
	for _, r := range j.tasks {
		l.resultBytes -= len(r.result)
	}
	for _, c := range j.claims {
		l.recordDroppedClaim(c)
	}
}

// recordDroppedClaim raises the highest dropped claim of the claim's owner.
// Beyond maxDroppedOwners it removes the owner that was added first.
func (l *ledger) recordDroppedClaim(c *wirepb.Claim) {
	seq, found := l.droppedClaims[c.Owner]
	if !found {
		l.droppedOwners = append(l.droppedOwners, c.Owner)
	}
	l.droppedClaims[c.Owner] = max(seq, c.ClaimSeq)
	if len(l.droppedOwners) > maxDroppedOwners {
		delete(l.droppedClaims, l.droppedOwners[0])
		l.droppedOwners = l.droppedOwners[1:]
	}
}

// addClaim adds a claim to a job record. If the claim is new to this record and
// an earlier record under it may have been dropped, the job may lack history.
func (l *ledger) addClaim(j *jobRecord, c *wirepb.Claim) {
	for _, existing := range j.claims {
		if existing.Owner == c.Owner && existing.ClaimSeq == c.ClaimSeq {
			return
		}
	}
	j.claims = append(j.claims, c)
	j.mayLackHistory = j.mayLackHistory || l.mayHaveDropped(c.Owner, c.ClaimSeq)
}

func (j *jobRecord) addWatcher(entry string) {
	for _, w := range j.watchers {
		if w == entry {
			return
		}
	}
	j.watchers = append(j.watchers, entry)
}

// wireUpdate returns the state of the task as an update for an entry.
func (r *taskRecord) wireUpdate() *wirepb.Update {
	return &wirepb.Update{
		Team:       r.ref.Team,
		JobId:      r.ref.Job,
		Generation: r.generation,
		Task:       r.ref.Task,
		Attempt:    r.attempt,
		State:      r.state.wire(),
		Result:     r.result,
		Reason:     uint32(r.reason),
		Detail:     r.detail,
		RunUs:      uint32(r.took.Microseconds()),
	}
}

func (t taskState) wire() wirepb.TaskState {
	switch t {
	case stateQueued:
		return wirepb.TaskState_TASK_STATE_QUEUED
	case stateRunning:
		return wirepb.TaskState_TASK_STATE_RUNNING
	case stateDone:
		return wirepb.TaskState_TASK_STATE_DONE
	case stateFailed:
		return wirepb.TaskState_TASK_STATE_FAILED
	case stateRefused:
		return wirepb.TaskState_TASK_STATE_REFUSED
	}
	return wirepb.TaskState_TASK_STATE_UNSPECIFIED
}
