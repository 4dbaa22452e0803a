package caller

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Repeatable whole jobs have no claim. Their caller submits them again when the
// connection breaks, and by then every run of the first submission must have
// ended: the entry stops them when the caller leaves, agents stop those of an
// entry that is silent, and the endpoint's lease ends those of an agent that
// is. A task is placed again only when its last run has surely ended.

// wholeRepeatable reports whether the job is repeatable as a whole, and not a
// single request with a budget of retries.
func (j *job) wholeRepeatable() bool { return j.Repeatable && j.Attempts > 0 }

// held returns the job that a submission repeats, if this entry holds it.
func (s *State) held(sub *Job) *job {
	if sub.Name != "" {
		return s.named[Key{Team: sub.Team, ID: sub.Name}]
	}
	return s.jobs[sub.Key]
}

// runFailed takes the end of a run without a result. Only failures of the run
// itself count as attempts.
func (s *State) runFailed(j *job, i int, why reason.Reason, detail string) {
	t := &j.tasks[i]
	if why == reason.NoProgress {
		t.stalls++
	}
	if why == reason.EndpointFailed {
		t.failures++
		if t.failures >= j.Attempts {
			s.fail(j, why, detail)
			return
		}
	}
	s.again(j, i, why)
}

// again places a task again whose last run has surely ended.
func (s *State) again(j *job, i int, why reason.Reason) {
	s.do(Counted{What: Retry, Reason: why, Ref: j.taskRef(i), Agent: j.tasks[i].on.Incarnation})
	j.ran = true
	s.release(j, i)
	s.requeue(j, i)
}

// blames reports whether the way in which a run ended speaks against its
// endpoint.
func blames(why reason.Reason) bool {
	switch why {
	case reason.EndpointFailed, reason.NoProgress, reason.EndpointSilent:
		return true
	default:
		return false
	}
}

// replaced gives up on earlier incarnations of an agent. An agent announces
// itself only after it has stopped whatever the one before left running.
func (s *State) replaced(by *agent.Member) {
	if by.RunsOver == 0 || by.ID == "" {
		return
	}
	for _, m := range s.pool.All() {
		if m != by && m.ID == by.ID {
			s.lose(m, reason.AgentLost)
			s.forget(m)
		}
	}
}

// missLeased looks after a member that is out of reach and whose runs end by
// themselves.
func (s *State) missLeased(m *agent.Member, gone time.Duration) {
	if s.now-m.Heard > m.RunsOver {
		s.lose(m, reason.AgentLost)
	}
	if gone > forgetMember && len(m.Work) == 0 {
		s.forget(m)
	}
}

// countSteps counts the tasks of each step that have no outcome.
func (j *job) countSteps() {
	j.left = make([]int, max(1, len(j.After)))
	for i := range j.tasks {
		if j.tasks[i].state != done {
			j.left[j.tasks[i].Step]++
		}
	}
}

// stepOpen reports whether the tasks of a step may be placed.
func (j *job) stepOpen(step int) bool {
	if step >= len(j.After) {
		return true
	}
	return !slices.ContainsFunc(j.After[step], func(before int) bool { return j.left[before] > 0 })
}

// stepDone notes the end of a task of a step and opens the steps behind it.
func (s *State) stepDone(j *job, step int) {
	if len(j.left) == 0 {
		return
	}
	j.left[step]--
	if j.left[step] > 0 || j.cancelled {
		return
	}
	var opened []int
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.Step < len(j.After) && slices.Contains(j.After[t.Step], step) && j.stepOpen(t.Step) {
			t.expected = s.pool.Expected(j.need(i))
			opened = append(opened, i)
		}
	}
	for _, i := range slices.Backward(opened) {
		s.requeue(j, i)
	}
}
