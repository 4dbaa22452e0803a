package admission

import "time"

const (
	// steps is the number of steps into which the time until a job's limit is
	// divided. A step is at most 3% of the time that the job has.
	steps = 32
	// minStep is the shortest step: messages to agents and back take some
	// milliseconds.
	minStep = 2 * time.Millisecond
	// maxWait bounds expected waits beyond the steps. Callers wait a day at most.
	maxWait = 24 * time.Hour
)

// plan is the room that waiting jobs may use in each step of the coming time, in
// thousandths of a core, or in slots for tasks without a need. Jobs are placed in
// it one after the other.
type plan struct {
	step  time.Duration
	need  float64 // of a task without a need of its own
	level float64 // room of this entry once its running tasks have ended
	room  [steps]float64
	// later is the room that becomes free after the steps, and laterSteps the sum over
	// it of how many steps later.
	later, laterSteps float64
	won               float64 // room that is won from other entries in a step
}

// newPlan returns the room that becomes free until the given time.
func newPlan(s *Snapshot, need int, until time.Duration) *plan {
	p := &plan{step: max(minStep, (until-s.Now)/steps), need: float64(max(1, need))}
	var gain [steps]float64 // what becomes free in each step
	othersEnd := 0.0        // room of other entries' tasks that ends in a second
	for i := range s.Members {
		m := &s.Members[i]
		gain[0] += float64(m.freeTasks(need)) * p.need
		used := m.usedByOthers(need, p.need)
		rate := used / max(minStep, m.MeanRunTime).Seconds()
		othersEnd += rate
		if len(s.Waiting) == 0 {
			// The entry has not tried to use what has become free since the report.
			gain[0] += assumedShare * min(used, rate*m.ReportAge.Seconds())
		}
	}
	for i := range s.Running {
		p.addRunning(&s.Running[i], need, &gain)
	}
	p.won = s.Won.perSecond(s.Now, p.need == 1, othersEnd) * p.step.Seconds()
	free := 0.0
	for k := range steps {
		free += gain[k]
		if k > 0 {
			free += p.won
		}
		p.room[k] = free
	}
	p.level = free + p.later
	return p
}

// usedByOthers returns the room that tasks of other entries use at m, of which each
// task without a need uses the given units.
func (m *Member) usedByOthers(need int, units float64) float64 {
	tasks := m.Own - m.Unreported + m.Others
	if m.Others <= 0 || tasks <= 0 {
		return 0
	}
	used := float64(m.Slots-m.FreeSlots) * units
	if m.countsCPU(need) {
		used = float64(min(m.CPUMilli, m.CPUMilli-m.FreeMilli))
	}
	return used * float64(m.Others) / float64(max(tasks, m.Others))
}

// addRunning adds the room of a running task, divided over the steps by the
// probability that it ends in each.
func (p *plan) addRunning(r *Running, need int, gain *[steps]float64) {
	units := p.need
	if r.NeedMilli > 0 && need > 0 {
		units = float64(r.NeedMilli)
	}
	expected := max(time.Millisecond, r.Expected)
	perStep := float64(p.step) / float64(expected)
	elapsed := float64(r.Elapsed) / float64(expected)
	var mean, probability [ratioBuckets]float64
	for i := range r.Ratios.remaining(elapsed, &mean, &probability) {
		freed := units * probability[i]
		if at := mean[i] / perStep; at < steps {
			gain[int(at)] += freed
		} else {
			p.later += freed
			p.laterSteps += (at - steps) * freed
		}
	}
}

// placeOnTime places a job that is on time, unless it would be late before it starts.
// It reports whether it has placed it.
func (p *plan) placeOnTime(now time.Duration, j *Job) bool {
	if j.Urgency.Class == OnTime && j.Due > 0 {
		trial := *p
		if first, _ := trial.place(j); now+first > j.Urgency.LatestStart {
			return false
		}
		*p = trial
		return true
	}
	p.place(j)
	return true
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
		last = (steps + p.stepsUntil(float64(left)*need, length)) * p.step
		if first < 0 {
			first = last
		}
		p.occupy(steps-1, float64(left)*need, length)
	}
	return max(0, first), last
}

// stepsUntil returns how many steps after the last one room is expected for the given
// units of tasks of the given length. What becomes free later is taken to do so evenly,
// until twice the mean time.
func (p *plan) stepsUntil(units, length float64) time.Duration {
	maxSteps := max(1, float64(maxWait/p.step))
	perStep := p.won
	if p.laterSteps > 0 {
		perStep += p.later * p.later / (2 * p.laterSteps)
	}
	if perStep <= 0 {
		perStep = p.level / length
	}
	return time.Duration(min(maxSteps, units/max(perStep, units/maxSteps)))
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

// placeAhead places the waiting jobs that go before a new one. It returns the indexes
// of those that will be late before they start, and go behind others then.
func (p *plan) placeAhead(s *Snapshot, ahead int) (late []int) {
	for i := range s.Waiting[:ahead] {
		if !p.placeOnTime(s.Now, &s.Waiting[i]) {
			late = append(late, i)
		}
	}
	return late
}

// expected returns how long the last task of a job is expected to wait, and the time
// until the job is expected to end. Jobs that are late go first if the job itself will
// be late before it starts.
func (p *plan) expected(s *Snapshot, j *Job, late []int) (wait, end time.Duration) {
	trial := *p
	first, last := trial.place(j)
	if s.Now+first > j.Urgency.LatestStart {
		for _, i := range late {
			p.place(&s.Waiting[i])
		}
		first, last = p.place(j)
	}
	// The longest task is started first.
	return last, max(first+j.Longest, last+min(j.RunTime, j.Longest))
}
