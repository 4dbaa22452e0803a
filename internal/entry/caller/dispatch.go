package caller

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// maxLook is how many jobs are looked at for one that has a place,
// so that a job that no agent may serve doesn't hold up the others.
const maxLook = 16

// serviceQueue holds the jobs of one service that have tasks to be placed.
type serviceQueue struct {
	teams map[string][]*job // oldest first
	// work is the run time that the waiting tasks and those with agents are
	// expected to have.
	work time.Duration
}

// team is what the entry knows of one team.
type team struct {
	name    string
	running int // tasks that are sent or started
	queued  int // tasks that wait for a place
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.teams[name] = t
	}
	return t
}

// share returns this entry's share of a bound over all entries.
func (s *State) share(bound int) int {
	return (bound + s.entries - 1) / s.entries
}

func (s *State) overQuota(j *Job) bool {
	limit := s.doc.Quota(j.Team).MaxQueued
	return limit > 0 && s.team(j.Team).queued+len(j.Tasks) > s.share(limit)
}

func (s *State) atQuota(t *team) bool {
	limit := s.doc.Quota(t.name).MaxRunning
	return limit > 0 && t.running >= s.share(limit)
}

func (s *State) queue(service string) *serviceQueue {
	q := s.queues[service]
	if q == nil {
		q = &serviceQueue{teams: map[string][]*job{}}
		s.queues[service] = q
	}
	return q
}

func (s *State) enqueue(j *job) {
	q := s.queue(j.Service)
	if !j.inQueue {
		q.teams[j.Team] = append(q.teams[j.Team], j)
		j.inQueue = true
	}
	s.team(j.Team).queued += len(j.waiting)
	q.work += j.waitingWork()
}

// waitingWork returns the run time that the waiting tasks are expected to have.
func (j *job) waitingWork() time.Duration {
	total := time.Duration(0)
	for _, i := range j.waiting {
		total += j.tasks[i].expected
	}
	return total
}

// requeue puts one task back to be placed again, ahead of its job's others.
func (s *State) requeue(j *job, i int) {
	j.tasks[i].state = waiting
	j.waiting = slices.Insert(j.waiting, 0, i)
	s.queued++
	s.team(j.Team).queued++
	q := s.queues[j.Service]
	q.work += j.tasks[i].expected
	if j.inQueue {
		return
	}
	q.teams[j.Team] = append([]*job{j}, q.teams[j.Team]...)
	j.inQueue = true
}

// dispatch places tasks as long as there is room.
func (s *State) dispatch() {
	if s.queued == 0 || !s.viewFresh() {
		return
	}
	s.shed()
	for service, q := range s.queues {
		placed := true
		for placed && s.pool.HasRoom(s.now, service) {
			placed = s.placeNext(q)
		}
	}
}

// placeNext places one task of the most urgent job that has a place for it.
func (s *State) placeNext(q *serviceQueue) bool {
	jobs := s.inOrder(q)
	for _, j := range jobs[:min(len(jobs), maxLook)] {
		if s.place(j) {
			return true
		}
	}
	return false
}

// place sends the job's next task if an agent has room for it.
func (s *State) place(j *job) bool {
	i := j.waiting[0]
	m := s.pool.Pick(s.now, j.need(i))
	if m == nil {
		return false
	}
	j.waiting = j.waiting[1:]
	s.queued--
	t := s.team(j.Team)
	t.queued--
	t.running++
	if len(j.waiting) == 0 {
		s.dequeue(j)
	}
	s.send(j, i, m)
	return true
}

func (s *State) send(j *job, i int, m *agent.Member) {
	t := &j.tasks[i]
	t.state = sent
	t.attempt++
	t.generation = j.generation
	t.on = m
	t.sentAt = s.now
	j.open++
	if m.Stale(s.now) {
		s.message(m).Ping = true
	}
	s.pool.Sent(s.now, m, j.taskRef(i))
	s.sendStart(j, i)
}

func (s *State) sendStart(j *job, i int) {
	t := &j.tasks[i]
	msg := s.message(t.on)
	msg.Agent = t.on.Incarnation
	msg.Starts = append(msg.Starts, &wirepb.Start{
		Job:     j.ref(),
		Task:    uint32(i),
		Attempt: t.attempt,
		Kind:    t.Kind,
		Payload: t.Payload,

		Name:       j.Name,
		Step:       uint32(t.Step),
		Index:      uint32(t.Index),
		Need:       t.Need.Wire(),
		Repeatable: j.wholeRepeatable(),
		Stalls:     t.stalls,
	})
}
