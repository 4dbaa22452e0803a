package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
)

// maxTrackedKinds bounds the number of kinds of tasks of a service whose run times
// and shares are recorded.
const maxTrackedKinds = 256

// placement is a task that an agent holds.
type placement struct {
	job  *job
	task *task
	// expectedRunTime is the run time expected on the member.
	expectedRunTime time.Duration
}

// roomRecord holds what was observed about the room of a service. The zero value
// holds nothing.
type roomRecord struct {
	observations    int           // measured run times
	lastObservation time.Duration // when the latest was measured
	won             admission.Won
	kinds           map[string]*kindRecord
}

// kindRecord holds what was observed about the jobs whose first task has a kind.
type kindRecord struct {
	ratios admission.Ratios
	size   admission.SizeQuantile
	// shares are those of the jobs that aren't large, and of the large ones.
	shares [2]admission.Share
}

// kind returns the record of a kind, created on first use. It returns nil if there are
// maxTrackedKinds others.
func (r *roomRecord) kind(name string) *kindRecord {
	k := r.kinds[name]
	if k == nil && len(r.kinds) < maxTrackedKinds {
		if r.kinds == nil {
			r.kinds = map[string]*kindRecord{}
		}
		k = &kindRecord{}
		r.kinds[name] = k
	}
	return k
}

// recordPlacement records that an agent holds a task from now on.
func (s *State) recordPlacement(j *job, t *task) {
	q := s.queueOf(j.Service)
	t.placement = len(q.placed)
	q.placedMilli += t.Need.CPUMilli
	q.placed = append(q.placed, placement{j, t, s.pool.ExpectedRunTimeOn(t.member, j.requirementsOf(&t.Task))})
}

// removePlacement removes the record of a task that its agent no longer holds.
func (q *serviceQueue) removePlacement(t *task) {
	q.placedMilli -= t.Need.CPUMilli
	last := len(q.placed) - 1
	q.placed[t.placement] = q.placed[last]
	q.placed[t.placement].task.placement = t.placement
	q.placed[last] = placement{}
	q.placed = q.placed[:last]
}

// recordWon records how much room each service has won, and whether its jobs wait for
// more. Jobs of teams at their quota, and those that may not start, don't wait for room.
func (s *State) recordWon() {
	mayStart := !s.holdsTasks() && s.configConfirmed()
	for _, service := range s.queuedServices {
		q := s.queues[service]
		q.room.won = q.room.won.With(s.now, mayStart && s.waitsForRoom(q), len(q.placed), q.placedMilli)
	}
}

// waitsForRoom reports whether a team below its quota has waiting jobs.
func (s *State) waitsForRoom(q *serviceQueue) bool {
	for name := range q.jobsByTeam {
		if !s.atRunningQuota(s.team(name)) {
			return true
		}
	}
	return false
}

// recordRunTime records the run time of a task that an agent holds.
func (s *State) recordRunTime(j *job, i int, runTime time.Duration) {
	q := s.queueOf(j.Service)
	q.room.observations++
	q.room.lastObservation = s.now
	if k := q.room.kind(j.tasks[i].Kind); k != nil {
		k.ratios = k.ratios.With(runTime, q.placed[j.tasks[i].placement].expectedRunTime)
	}
}

// running returns the tasks that linked agents hold.
func (s *State) running(q *serviceQueue) []admission.Running {
	all := s.runningBuffer[:0]
	for i := range q.placed {
		p := &q.placed[i]
		if !p.task.member.Linked {
			continue
		}
		r := admission.Running{NeedMilli: p.task.Need.CPUMilli, Elapsed: s.now - p.task.sentAt, Expected: p.expectedRunTime}
		if k := q.room.kinds[p.task.Kind]; k != nil {
			r.Ratios = &k.ratios
		}
		all = append(all, r)
	}
	s.runningBuffer = all
	return all
}
