package entry

import (
	"container/list"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// maxOwners bounds the owners whose dropped records are remembered.
const maxOwners = 8192

// LedgerOptions bound the start ledger.
type LedgerOptions struct {
	Jobs        int
	ResultBytes int
	Retention   time.Duration
}

// taskState is the state of a task in the ledger.
type taskState int

const (
	queued taskState = iota
	running
	done
	failed
	refused
)

// record is the ledger's entry for one task. A refused record stays as a
// tombstone, so that a start that was sent twice is refused twice.
type record struct {
	ref        Ref
	job        *jobRecord
	generation uint64
	attempt    uint32
	sender     string // incarnation of the entry that sent the start
	state      taskState
	kind       string
	payload    []byte
	name       string
	step       uint32
	index      uint32
	need       resources.Resources
	stalls     uint32
	repeatable bool // stopped when the sender is lost
	queued     time.Duration
	aborted    bool
	result     []byte
	reason     reason.Reason
	detail     string
	took       time.Duration
}

// jobRecord is the ledger's entry for one job.
type jobRecord struct {
	key        jobKey
	generation uint64
	claims     []*wirepb.Claim
	tasks      map[uint32]*record
	watchers   []string // incarnations of the entries that want outcomes
	open       int      // queued and running tasks
	forgotten  bool     // an earlier record of the job was dropped
	used       time.Duration
	place      *list.Element
}

type jobKey struct {
	team string
	id   string
}

// ledger remembers what was started. Records are dropped oldest first once
// they are past the retention or over a bound; the highest claim dropped for
// each owner is remembered, so that later messages for such claims are refused
// instead of being taken for new.
type ledger struct {
	opts    LedgerOptions
	jobs    map[jobKey]*jobRecord
	order   *list.List // of *jobRecord, least recently used first
	results int        // bytes
	dropped map[string]uint64
	owners  []string // keys of dropped, oldest first
}

func newLedger(o LedgerOptions) *ledger {
	return &ledger{
		opts:    o,
		jobs:    map[jobKey]*jobRecord{},
		order:   list.New(),
		dropped: map[string]uint64{},
	}
}

// use returns the record of a job, made if need be, and notes its use.
func (l *ledger) use(now time.Duration, ref *wirepb.JobRef) *jobRecord {
	key := jobKey{team: ref.Team, id: ref.JobId}
	j := l.jobs[key]
	if j == nil {
		j = &jobRecord{key: key, tasks: map[uint32]*record{}}
		j.place = l.order.PushBack(j)
		l.jobs[key] = j
	}
	j.used = now
	l.order.MoveToBack(j.place)
	l.learn(j, &wirepb.Claim{Owner: ref.Owner, ClaimSeq: ref.ClaimSeq})
	return j
}

// forgotten reports whether the record of a claim may have been dropped.
func (l *ledger) forgotten(owner string, seq uint64) bool {
	return seq <= l.dropped[owner]
}

// setResult stores the result of a task and accounts for its size.
func (l *ledger) setResult(r *record, result []byte) {
	r.result = result
	l.results += len(result)
}

// expire drops records that are past the retention or over a bound. Jobs with
// open tasks stay.
func (l *ledger) expire(now time.Duration) {
	for e := l.order.Front(); e != nil; {
		j := e.Value.(*jobRecord)
		e = e.Next()
		old := now-j.used > l.opts.Retention
		over := len(l.jobs) > l.opts.Jobs || l.results > l.opts.ResultBytes
		if !old && !over {
			return
		}
		if j.open == 0 {
			l.drop(j)
		}
	}
}

func (l *ledger) drop(j *jobRecord) {
	l.order.Remove(j.place)
	delete(l.jobs, j.key)
	for _, r := range j.tasks {
		l.results -= len(r.result)
	}
	for _, c := range j.claims {
		l.dropClaim(c)
	}
}

func (l *ledger) dropClaim(c *wirepb.Claim) {
	seq, known := l.dropped[c.Owner]
	if !known {
		l.owners = append(l.owners, c.Owner)
	}
	l.dropped[c.Owner] = max(seq, c.ClaimSeq)
	if len(l.owners) > maxOwners {
		delete(l.dropped, l.owners[0])
		l.owners = l.owners[1:]
	}
}

// learn adds a claim to a record. If the claim is new to it and may have been
// dropped before, an earlier record of the job may have been.
func (l *ledger) learn(j *jobRecord, c *wirepb.Claim) {
	for _, known := range j.claims {
		if known.Owner == c.Owner && known.ClaimSeq == c.ClaimSeq {
			return
		}
	}
	j.claims = append(j.claims, c)
	j.forgotten = j.forgotten || l.forgotten(c.Owner, c.ClaimSeq)
}

func (j *jobRecord) addWatcher(entry string) {
	for _, w := range j.watchers {
		if w == entry {
			return
		}
	}
	j.watchers = append(j.watchers, entry)
}

// update describes a record to an entry.
func (r *record) update() *wirepb.Update {
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
	case queued:
		return wirepb.TaskState_TASK_STATE_QUEUED
	case running:
		return wirepb.TaskState_TASK_STATE_RUNNING
	case done:
		return wirepb.TaskState_TASK_STATE_DONE
	case failed:
		return wirepb.TaskState_TASK_STATE_FAILED
	case refused:
		return wirepb.TaskState_TASK_STATE_REFUSED
	}
	return wirepb.TaskState_TASK_STATE_UNSPECIFIED
}
