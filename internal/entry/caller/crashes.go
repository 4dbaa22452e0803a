package caller

import (
	"container/list"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// A task may crash every endpoint that starts it. When an endpoint crashes, all
// tasks that ran there are suspects, most of them wrongly. So that these don't meet
// again, a suspect is placed where no other suspect of this entry runs, and after all
// other tasks, since it may cost another endpoint. A task is given up after
// maxCrashes. A caller may submit the job again at another entry, so agents report
// each crash to all entries that they are linked to, and the recorded ones to an entry
// that opens a link.

const (
	// maxCrashes is how many crashes of endpoints during runs of a task are counted
	// until it is not started again. A run may have ended shortly before a crash, so
	// that fewer may be sure.
	maxCrashes = 3
	// maxCrashRecords limits the number of tasks whose crashes are recorded.
	maxCrashRecords = 10_000
	// crashRetention is how long the crashes of a task are recorded after the
	// latest one. A caller submits a job again within a few seconds.
	crashRetention = time.Minute
)

// crashKey identifies a task across the submissions of its job.
type crashKey struct {
	job  Key // with the id that the caller gave
	task int
}

// crashRecord counts the crashes of endpoints during runs of one task.
type crashRecord struct {
	key     crashKey
	byAgent map[string]uint32 // number of crashes, by the agent's incarnation
	at      time.Duration     // when the latest crash was reported
}

// crashes returns the number of crashes at all agents.
func (r *crashRecord) crashes() int {
	total := 0
	for _, n := range r.byAgent {
		total += int(n)
	}
	return total
}

// crashRecords holds the records of the tasks that ran on crashed endpoints. The
// zero value has none.
type crashRecords struct {
	byKey map[crashKey]*list.Element
	order list.List // of *crashRecord, by time of the latest crash
}

// get returns the record of a task. If there is none, it returns an empty one that
// is not kept.
func (c *crashRecords) get(key crashKey) *crashRecord {
	if e := c.byKey[key]; e != nil {
		return e.Value.(*crashRecord)
	}
	return &crashRecord{}
}

// add records the number of crashes of a task at an agent. It discards records
// that are old or exceed the limit.
func (c *crashRecords) add(now time.Duration, key crashKey, agentIncarnation string, crashes uint32) *crashRecord {
	if c.byKey == nil {
		c.byKey = map[crashKey]*list.Element{}
	}
	e := c.byKey[key]
	if e == nil {
		e = c.order.PushBack(&crashRecord{key: key, byAgent: map[string]uint32{}})
		c.byKey[key] = e
	}
	c.order.MoveToBack(e)
	record := e.Value.(*crashRecord)
	record.byAgent[agentIncarnation] = max(record.byAgent[agentIncarnation], crashes)
	record.at = now
	for first := c.order.Front(); first != e; first = c.order.Front() {
		oldest := first.Value.(*crashRecord)
		if len(c.byKey) <= maxCrashRecords && now-oldest.at < crashRetention {
			break
		}
		c.order.Remove(first)
		delete(c.byKey, oldest.key)
	}
	return record
}

// crashKeyOf returns the key of a task's record.
func (j *job) crashKeyOf(i int) crashKey {
	return crashKey{job: Key{Team: j.Team, ID: j.CallerJobID}, task: i}
}

// isSuspect reports whether an endpoint crashed during a run of the task.
func (s *State) isSuspect(j *job, i int) bool {
	return len(s.crashes.byKey) > 0 && s.crashes.get(j.crashKeyOf(i)).crashes() > 0
}

// mustGiveUp reports whether the task must not be started again.
func (s *State) mustGiveUp(j *job, i int) bool {
	return s.crashes.get(j.crashKeyOf(i)).crashes() >= maxCrashes
}

// hasGivenUpTask reports whether a task of the job was given up in an earlier
// submission.
func (s *State) hasGivenUpTask(j *job) bool {
	for i := range j.tasks {
		if s.mustGiveUp(j, i) {
			return true
		}
	}
	return false
}

// handleCrashNotice records how many times the endpoint of an agent has crashed
// during runs of a task, of whichever entry. The agent sends the notice before it
// reports the end of the run.
func (s *State) handleCrashNotice(m *agent.Member, u *wirepb.Update) {
	key := crashKey{job: Key{Team: u.Team, ID: u.JobId}, task: int(u.Task)}
	record := s.crashes.add(s.now, key, m.Incarnation, u.Attempt)
	j := s.openByCallerID[key.job]
	if j == nil || j.phase != active || key.task >= len(j.tasks) || j.tasks[key.task].state == done {
		return
	}
	if record.crashes() >= maxCrashes {
		s.failJob(j, reason.EndpointCrashed, crashDetail)
	}
}

// crashDetail is the detail of the answer to a job with a task that is given up.
const crashDetail = "endpoints crashed during the runs of a task"
