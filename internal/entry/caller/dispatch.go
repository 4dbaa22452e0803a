package caller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/entry/fit"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// maxPlacementCandidates is how many jobs, the most urgent first, are tried to
// find a task that an agent has room for. With more than one, a job that no
// agent can serve does not block the others.
const maxPlacementCandidates = 16

// serviceQueue holds the jobs of one service that have tasks to be placed.
type serviceQueue struct {
	jobsByTeam map[string][]*job // oldest first
	// expectedWork is the sum of the expected run times of the waiting tasks
	// and of those that agents hold.
	expectedWork time.Duration
	// placed are the tasks that agents hold.
	placed      []placement
	placedMilli int // sum of their needs, in thousandths of a core
	room        roomRecord
	meanNeed    float64 // moving average, in thousandths of a core
}

// team is the load of one team on this entry.
type team struct {
	name         string
	runningTasks int // tasks that are sent or started
	queuedTasks  int // tasks that wait to be placed
}

// team returns the record of a team, created on first use.
func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.teams[name] = t
	}
	return t
}

// entryShare returns this entry's share of a limit that applies to all entries
// together.
func (s *State) entryShare(limit int) int {
	return (limit + s.liveEntries - 1) / s.liveEntries
}

// exceedsQueueQuota reports whether a job would raise the team's waiting tasks
// above its quota.
func (s *State) exceedsQueueQuota(j *Job) bool {
	limit := s.doc.Quota(j.Team).MaxQueued
	return limit > 0 && s.team(j.Team).queuedTasks+len(j.Tasks) > s.entryShare(limit)
}

// atRunningQuota reports whether the team has as many tasks at agents as its
// quota allows.
func (s *State) atRunningQuota(t *team) bool {
	limit := s.doc.Quota(t.name).MaxRunning
	return limit > 0 && t.runningTasks >= s.entryShare(limit)
}

// queueOf returns the queue of a service, created on first use.
func (s *State) queueOf(service string) *serviceQueue {
	q := s.queues[service]
	if q == nil {
		q = &serviceQueue{jobsByTeam: map[string][]*job{}}
		s.queues[service] = q
		s.queuedServices = append(s.queuedServices, service)
	}
	return q
}

// enqueue adds the waiting tasks of a job to the queue of its service.
func (s *State) enqueue(j *job) {
	q := s.queueOf(j.Service)
	if !j.inQueue {
		q.jobsByTeam[j.Team] = append(q.jobsByTeam[j.Team], j)
		j.inQueue = true
	}
	s.team(j.Team).queuedTasks += len(j.waitingTasks)
	q.expectedWork += j.expectedWaitingWork()
}

// expectedWaitingWork returns the sum of the expected run times of the job's
// waiting tasks.
func (j *job) expectedWaitingWork() time.Duration {
	total := time.Duration(0)
	for _, i := range j.waitingTasks {
		total += j.tasks[i].expectedRunTime
	}
	return total
}

// requeueTask makes a task wait to be placed, ahead of the other tasks of its
// job. A suspect waits behind them.
func (s *State) requeueTask(j *job, i int) {
	j.tasks[i].state = waiting
	if s.isSuspect(j, i) {
		j.waitingTasks = append(j.waitingTasks, i)
	} else {
		j.waitingTasks = slices.Insert(j.waitingTasks, 0, i)
	}
	s.queuedTasks++
	s.team(j.Team).queuedTasks++
	q := s.queues[j.Service]
	q.expectedWork += j.tasks[i].expectedRunTime
	if j.inQueue {
		return
	}
	q.jobsByTeam[j.Team] = append([]*job{j}, q.jobsByTeam[j.Team]...)
	j.inQueue = true
}

// dispatch places waiting tasks as long as agents have room. Without a
// confirmed configuration no task may be started, nor soon after a long interruption.
func (s *State) dispatch() {
	if s.holdsTasks() || s.queuedTasks == 0 || !s.configConfirmed() {
		return
	}
	s.shedLateJobs()
	for _, service := range s.queuedServices {
		q := s.queues[service]
		placed := true
		for placed && s.pool.HasRoom(s.now, service) {
			placed = s.placeTaskFrom(q)
		}
	}
}

// placeTaskFrom places one task of the most urgent job that an agent has room
// for, and reports whether there was one.
func (s *State) placeTaskFrom(q *serviceQueue) bool {
	jobs := s.jobsByUrgency(q)
	for i, j := range jobs[:min(len(jobs), maxPlacementCandidates)] {
		if s.placeNextTask(j, jobs[i+1:]) {
			return true
		}
	}
	return false
}

// maxWaitingConsidered is how many of the jobs that follow are searched for tasks that
// need room on fast members. The placement of a task costs processor time for each.
const maxWaitingConsidered = 8

// nextWaiting returns the waiting tasks of the jobs that follow for which the placement
// of the job's next task may leave room, since they have less time until they are due
// for their run time.
func (s *State) nextWaiting(j *job, following []*job) fit.Waiting {
	var next fit.Waiting
	placed := &j.tasks[j.waitingTasks[0]]
	if j.Due <= s.now || placed.expectedRunTime <= 0 {
		return next
	}
	ownSlack := float64(j.Due-s.now) / float64(placed.expectedRunTime)
	tightest := ownSlack
	for _, o := range following[:min(len(following), maxWaitingConsidered)] {
		t := &o.tasks[o.waitingTasks[0]]
		if o.Due <= s.now || t.expectedRunTime <= 0 {
			continue
		}
		slack := float64(o.Due-s.now) / float64(t.expectedRunTime)
		if slack >= ownSlack {
			continue
		}
		next.Tasks += len(o.waitingTasks)
		if slack < tightest {
			tightest = slack
			next.Need, next.Due = t.Need, o.Due
			next.RelativeRunTime = float64(t.expectedRunTime) / float64(placed.expectedRunTime)
		}
	}
	return next
}

// placeNextTask sends the job's next task if an agent has room for it, and
// reports whether one had.
func (s *State) placeNextTask(j *job, following []*job) bool {
	i := j.waitingTasks[0]
	m := s.pickMember(j, i, s.nextWaiting(j, following))
	if m == nil {
		return false
	}
	j.waitingTasks = j.waitingTasks[1:]
	s.queuedTasks--
	t := s.team(j.Team)
	t.queuedTasks--
	t.runningTasks++
	if len(j.waitingTasks) == 0 {
		s.dequeue(j)
	}
	s.sendTask(j, i, m)
	return true
}

// pickMember returns a member with room for a task, or nil. A suspect needs one
// without other suspects.
func (s *State) pickMember(j *job, i int, next fit.Waiting) *agent.Member {
	required := j.requirements(i)
	required.Waiting = next
	required.Isolated = s.isSuspect(j, i)
	return s.pool.Pick(s.now, required)
}

// sendTask records a task as sent to a member, and sends its start message.
func (s *State) sendTask(j *job, i int, m *agent.Member) {
	t := &j.tasks[i]
	t.state = sent
	t.attempt++
	t.openEarlierAttempt = 0
	t.generation = j.generation
	t.member = m
	t.endpoint = m.Endpoint
	t.sentAt = s.now
	j.tasksAtAgents++
	if m.HasStaleReport(s.now) {
		s.pendingMessage(m).Ping = true
	}
	s.pool.RecordTaskSent(s.now, m, j.taskRef(i), t.Need)
	s.recordPlacement(j, t)
	if s.isSuspect(j, i) {
		m.Suspects[j.taskRef(i)] = struct{}{}
	}
	s.sendStart(j, i)
}

// sendStart sends the start message of a task to the member on which the task
// was placed.
func (s *State) sendStart(j *job, i int) {
	t := &j.tasks[i]
	msg := s.pendingMessage(t.member)
	msg.Agent = t.member.Incarnation
	msg.Starts = append(msg.Starts, &wirepb.Start{
		Job:     j.ref(),
		Task:    uint32(i),
		Attempt: t.attempt,
		Kind:    t.Kind,
		Payload: t.Payload,

		Name:       j.CallerJobID,
		Step:       uint32(t.Step),
		Index:      uint32(t.Index),
		Need:       t.Need.Wire(),
		Repeatable: j.isRepeatableJob(),
		Stalls:     t.stalledRuns,
		DeclaredMs: uint32(t.Declared.Milliseconds()),
		Endpoint:   t.endpoint,
		Priority:   int32(j.Priority),
		DueInMs:    j.dueInMs(s.now),
	})
}

// dueInMs returns the time until the job is due in ms; 0 if it has no due time.
// Since 0 stands for none, a job that is due now has -1.
func (j *job) dueInMs(now time.Duration) int32 {
	if j.Due == 0 {
		return 0
	}
	in := int32(max(math.MinInt32, min(math.MaxInt32, (j.Due-now).Milliseconds())))
	return cmp.Or(in, -1)
}
