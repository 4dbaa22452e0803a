// Package admission predicts when a submitted job would start and end, and decides
// whether an entry admits it, refuses it, or admits it in place of waiting jobs of
// lower urgency.
//
// The functions are pure: they read no clock and keep no state, so that a decision
// can be reproduced from its inputs. Package caller builds the inputs and carries
// out the verdicts.
package admission

import "time"

const (
	// minObservations is how many run times of a service have to be known before an
	// estimate may refuse a job: as many as show a tail of 3% with a probability of
	// nearly a half.
	minObservations = 20
	// maxObservationAge is how old the latest of them may be. An estimate that
	// refuses all jobs gets no new observations, so it ends then.
	maxObservationAge = 5 * time.Second
	// settleTime is how long after an agent was linked no estimate refuses a job.
	// After a loss of power, agents appear one after the other within half a second.
	settleTime = 500 * time.Millisecond
	// maxRetryAfter bounds RetryAfter. Demand changes within 17 s.
	maxRetryAfter = 15 * time.Second
	// maxDisplaceable is how many waiting jobs behind a new one are considered for
	// displacement, which bounds the time of a decision.
	maxDisplaceable = 64
)

// Verdict is the decision about a submitted job. The trailing comment of each value
// is the name of its counter.
type Verdict int

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// The verdicts. All but Refused admit the job.
const (
	// RoomFree means that nothing waits and room is free.
	RoomFree Verdict = iota // room_free
	// InTime means that the job is expected to end while it is of use.
	InTime // in_time
	// Uncertain means that too little is known for a refusal.
	Uncertain // uncertain
	// Guaranteed means that the job is part of the room that its kind is guaranteed.
	Guaranteed // guaranteed
	// Displacing means that the job is admitted and waiting jobs are refused.
	Displacing // displacing
	// Refused means that the job would end too late to be of use.
	Refused // refused
	// numVerdicts is the number of verdicts.
	numVerdicts // invalid
)

// Verdicts returns all verdicts in order.
func Verdicts() []Verdict {
	all := make([]Verdict, 0, numVerdicts)
	for v := RoomFree; v < numVerdicts; v++ {
		all = append(all, v)
	}
	return all
}

// Member is the capacity of one agent.
type Member struct {
	// CPUMilli is the processor time of the endpoint in thousandths of a core; 0 if
	// it counts slots only. FreeMilli is what running and queued tasks leave of it.
	CPUMilli, FreeMilli int
	// Slots is the number of slots, and FreeSlots how many of them are unused.
	Slots, FreeSlots int
	// Offered is how many further starts the agent accepts from this entry.
	Offered int
	// Own is the number of open tasks of this entry, and Unreported how many of them
	// the latest report does not include. Others is the number of tasks of other
	// entries.
	Own, Unreported, Others int
	// MeanRunTime is the mean run time of the tasks that ended there.
	MeanRunTime time.Duration
	// Speed is relative to the mean of the service.
	Speed float64
	// ReportAge is the age of the latest report, and LinkAge that of the link.
	ReportAge, LinkAge time.Duration
}

// Running is a task of this entry that an agent holds.
type Running struct {
	NeedMilli int
	Elapsed   time.Duration // since it was sent
	Expected  time.Duration // run time expected on its member
	Ratios    *Ratios       // of its kind; nil if none was measured
}

// Job is a job to be admitted, or one that waits.
type Job struct {
	Tasks     int // that can start at once
	NeedMilli int // of the largest task
	RunTime   time.Duration
	// Longest is the expected time from the start of the longest chain of tasks to
	// its end.
	Longest time.Duration
	Urgency Urgency
	Due     time.Duration // 0 if there is no due time
	// Fixed reports whether a waiting job may not be displaced.
	Fixed bool
	Limit time.Duration // see UsefulUntil
}

// Snapshot is what is known about a service at one moment.
type Snapshot struct {
	Now     time.Duration
	Members []Member
	Running []Running
	Waiting []Job // most urgent first
	// Observations is the number of run times that were measured, and
	// LastObservation the time of the latest.
	Observations    int
	LastObservation time.Duration
	Won             Won
	// Owed reports whether the kind of the job has got less than its guaranteed
	// share.
	Owed bool
}

// Inputs are the values that determined a decision, for logs.
type Inputs struct {
	FreeTasks    int           // tasks of this size that free room suffices for
	TasksAhead   int           // waiting tasks that go first
	Running      int           // tasks of this entry at agents
	Members      int           // agents in service
	ExpectedWait time.Duration // until the last task starts
	ExpectedEnd  time.Duration // from now
	UsefulFor    time.Duration // from now
	ReportAge    time.Duration // of the oldest report
	Observations int
}

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	// Displaced are the indexes of the waiting jobs that are refused.
	Displaced []Displaced
	// RetryAfter is when room is expected for a refused job, from now.
	RetryAfter time.Duration
	Inputs     Inputs
}

// Displaced is a waiting job that is refused in favor of a new one.
type Displaced struct {
	Index      int // in Snapshot.Waiting
	RetryAfter time.Duration
}

// Decide decides whether a job is admitted.
func Decide(s *Snapshot, j Job) Decision {
	free, end := s.ifStartedNow(&j)
	inputs := Inputs{
		FreeTasks: free, Running: len(s.Running), Members: len(s.Members), UsefulFor: j.Limit - s.Now,
		ExpectedEnd: end, Observations: s.Observations,
	}
	if len(s.Waiting) == 0 && free >= j.Tasks && s.Now+end <= j.Limit {
		return Decision{Verdict: RoomFree, Inputs: inputs}
	}
	inputs.ReportAge = oldestReport(s.Members)
	if s.Owed {
		j.Urgency.Class = Promoted
	}
	p := newPlan(s, j.NeedMilli, j.Limit)
	ahead := 0
	for ahead < len(s.Waiting) && s.Waiting[ahead].Urgency.Compare(j.Urgency) <= 0 {
		inputs.TasksAhead += s.Waiting[ahead].Tasks
		ahead++
	}
	late := p.placeAhead(s, ahead)
	inputs.ExpectedWait, inputs.ExpectedEnd = p.expected(s, &j, late)
	d := Decision{Verdict: InTime, Inputs: inputs}
	switch {
	case s.Owed && s.Now+j.Longest <= j.Limit:
		d.Verdict = Guaranteed
	case s.Now+inputs.ExpectedEnd <= j.Limit:
		d.displace(s, j, ahead)
	case !s.certain():
		d.Verdict = Uncertain
	case s.Owed:
		// The run time is an estimate too, which only a run can correct.
		d.Verdict = Guaranteed
	default:
		d.Verdict = Refused
		d.RetryAfter = min(inputs.ExpectedWait, maxRetryAfter)
	}
	return d
}

// HasFreeRoom reports whether nothing waits, and all tasks of a job can start now and
// end while it is of use. Running tasks don't matter then.
func (s *Snapshot) HasFreeRoom(j Job) bool {
	if len(s.Waiting) > 0 {
		return false
	}
	free, end := s.ifStartedNow(&j)
	return free >= j.Tasks && s.Now+end <= j.Limit
}

// ifStartedNow returns how many tasks of the size of those of a job could start now,
// and how long the job would take on the fastest member that has room for one.
func (s *Snapshot) ifStartedNow(j *Job) (free int, end time.Duration) {
	free, speed := freeRoom(s.Members, j.NeedMilli)
	return free, time.Duration(float64(j.Longest) / speed)
}

// certain reports whether enough is known for an estimate to refuse a job.
func (s *Snapshot) certain() bool {
	if len(s.Members) == 0 || s.Observations < minObservations || s.Now-s.LastObservation > maxObservationAge {
		return false
	}
	for i := range s.Members {
		if s.Members[i].LinkAge < settleTime {
			return false
		}
	}
	return true
}

// freeRoom returns how many tasks with the given need could start now, and the speed
// of the fastest member that has room for one.
func freeRoom(members []Member, need int) (tasks int, speed float64) {
	for i := range members {
		m := &members[i]
		if n := m.freeTasks(need); n > 0 {
			tasks += n
			speed = max(speed, m.Speed)
		}
	}
	if speed == 0 {
		speed = 1
	}
	return tasks, speed
}

// countsCPU reports whether the room for a task is processor time and not slots.
func (m *Member) countsCPU(need int) bool { return m.CPUMilli > 0 && need > 0 }

// freeTasks returns how many tasks with the given need could start on m now.
func (m *Member) freeTasks(need int) int {
	free := m.FreeSlots - m.Unreported
	if m.countsCPU(need) {
		free = m.FreeMilli/need - m.Unreported
	}
	return max(0, min(free, m.Offered))
}

func oldestReport(members []Member) time.Duration {
	oldest := time.Duration(0)
	for i := range members {
		oldest = max(oldest, members[i].ReportAge)
	}
	return oldest
}

// displace finds the waiting jobs behind an admitted one that can't be of use any
// more. Only a job that is expected to be on time displaces others.
func (d *Decision) displace(s *Snapshot, j Job, ahead int) {
	behind := s.Waiting[ahead:min(len(s.Waiting), ahead+maxDisplaceable)]
	if len(behind) == 0 || s.Now+d.Inputs.ExpectedEnd > j.Due || !s.certain() {
		return
	}
	horizon := j.Limit
	for i := range behind {
		horizon = max(horizon, behind[i].Limit)
	}
	p := newPlan(s, j.NeedMilli, horizon)
	for i := range s.Waiting[:ahead] {
		p.place(&s.Waiting[i])
	}
	p.place(&j)
	for i := range behind {
		b := &behind[i]
		trial := *p
		wait, _ := trial.place(b)
		if !b.displaceable(&j) || s.Now+wait+b.Longest <= b.Limit {
			*p = trial
			continue
		}
		d.Displaced = append(d.Displaced, Displaced{Index: ahead + i, RetryAfter: min(wait, maxRetryAfter)})
	}
	if len(d.Displaced) > 0 {
		d.Verdict = Displacing
	}
}

// displaceable reports whether a waiting job may be refused in favor of j: it has a
// lower priority, or the same one and is late.
func (b *Job) displaceable(j *Job) bool {
	if b.Due == 0 || b.Fixed {
		return false
	}
	return b.Urgency.Class == OnTime && b.Urgency.Priority > j.Urgency.Priority ||
		b.Urgency.Class == Late && b.Urgency.Priority >= j.Urgency.Priority
}
