package admission

import "time"

const (
	// steps is the number of steps into which the time until a job's limit is
	// divided. A step is at most 3% of the time that the job has.
	steps = 32
	// minStep is the shortest step: messages to agents and back take some
	// milliseconds.
	minStep = 2 * time.Millisecond
	// wonShare is the part of the room of other entries' tasks, once these have
	// ended, that this entry gets. It is all of it if only this entry has waiting
	// jobs, and a tenth if all ten entries that share an agent have; the correction
	// by observed waits moves the estimate either way.
	wonShare = 0.5
)

// plan is the room that waiting jobs may use in each step of the coming time, in
// thousandths of a core, or in slots for tasks without a need. Jobs are placed in
// it one after the other.
type plan struct {
	step  time.Duration
	need  float64 // of a task without a need of its own
	level float64 // room of this entry at the end, including its running tasks
	room  [steps]float64
}

// newPlan returns the room that becomes free until the given time.
func newPlan(s *Snapshot, need int, until time.Duration) *plan {
	p := &plan{step: max(minStep, (until-s.Now)/steps), need: float64(max(1, need))}
	var gain [steps + 1]float64 // what becomes free in each step
	for i := range s.Members {
		p.addMember(&s.Members[i], need, &gain)
	}
	for i := range s.Running {
		p.addRunning(&s.Running[i], need, &gain)
	}
	free := 0.0
	for k := range steps {
		free += gain[k]
		p.room[k] = free
	}
	p.level += free + gain[steps]
	return p
}

// addMember adds what is free at a member now, and the part of other entries' room
// there that this entry is expected to win. That part grows evenly over the mean run
// time, counted from the report.
func (p *plan) addMember(m *Member, need int, gain *[steps + 1]float64) {
	free := float64(m.freeTasks(need)) * p.need
	gain[0] += free
	total, used := float64(m.Slots)*p.need, float64(m.Slots-m.FreeSlots)*p.need
	if m.countsCPU(need) {
		total, used = float64(m.CPUMilli), float64(m.CPUMilli-m.FreeMilli)
	}
	tasks := m.Own - m.Unreported + m.Others
	if m.Others <= 0 || tasks <= 0 || m.MeanRunTime <= 0 {
		return
	}
	won := wonShare * min(used, total) * float64(m.Others) / float64(max(tasks, m.Others))
	passed := min(1, float64(m.ReportAge)/float64(m.MeanRunTime))
	gain[0] += won * passed
	rest := won * (1 - passed)
	perStep := won * float64(p.step) / float64(m.MeanRunTime)
	for k := 1; k <= steps && rest > 0; k++ {
		part := min(rest, perStep)
		if k == steps {
			part = rest
		}
		gain[k] += part
		rest -= part
	}
}

// addRunning adds the room of a running task, divided over the steps by the
// probability that it ends in each.
func (p *plan) addRunning(r *Running, need int, gain *[steps + 1]float64) {
	units := p.need
	if r.NeedMilli > 0 && need > 0 {
		units = float64(r.NeedMilli)
	}
	expected := max(time.Millisecond, r.Expected)
	perStep := float64(p.step) / float64(expected)
	elapsed := float64(r.Elapsed) / float64(expected)
	ratios := r.Ratios
	if ratios == nil {
		ratios = &priorRatios
	}
	ratios.eachRemaining(elapsed, func(remaining, probability float64) {
		gain[min(steps, int(remaining/perStep))] += units * probability
	})
}

// place places the tasks of a job as early as room is expected, and returns how long
// the first and the last of them are expected to wait.
func (p *plan) place(j *Job) (first, last time.Duration) {
	need := p.need
	if j.NeedMilli > 0 && p.need > 1 {
		need = float64(j.NeedMilli)
	}
	length := max(float64(j.RunTime)/float64(p.step), 1e-3) // in steps
	first = -1
	left := j.Tasks
	for k := 0; k < steps && left > 0; k++ {
		if p.room[k] < need {
			continue
		}
		started := min(left, p.startable(k, need, length))
		if started == 0 {
			continue
		}
		left -= started
		last = time.Duration(k) * p.step
		if first < 0 {
			first = last
		}
		p.occupy(k, float64(started)*need, length)
	}
	if left > 0 {
		// The rest of the work is done at the final rate.
		rate := max(p.level, need)
		last = steps*p.step + time.Duration(float64(left)*need*float64(j.RunTime)/rate)
		if first < 0 {
			first = last
		}
		p.occupy(steps-1, float64(left)*need, length)
	}
	return max(0, first), last
}

// startable returns how many tasks the room in a step suffices for. Tasks that are
// shorter than the step follow one another.
func (p *plan) startable(k int, need, length float64) int {
	return int(p.room[k] / (need * min(1, length)))
}

// occupy takes room from step k on for a number of steps.
func (p *plan) occupy(k int, units, length float64) {
	for ; k < steps && length > 0; k++ {
		p.room[k] -= units * min(1, length)
		length--
	}
}

// expected returns how long the first task of a job is expected to wait, before the
// correction, and the time until the job is expected to end.
func (p *plan) expected(s *Snapshot, j *Job) (first, end time.Duration) {
	first, last := p.place(j)
	// The longest task is started first.
	return first, max(s.corrected(first)+j.Longest, s.corrected(last)+min(j.RunTime, j.Longest))
}
