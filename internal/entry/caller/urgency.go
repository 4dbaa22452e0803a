package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// This file answers bursts: for some seconds more work comes than there is room
// for. First come, first served would make every job late. Jobs that can still
// be on time go before those that can't, those that have begun before others,
// and a job that has not begun is refused once its answer would be worth nothing
// to its caller.

// lateFactor is how many times the time until it is due a job may take before
// its answer counts for nothing; the users' pages state it.
const lateFactor = 3

// urgency is the order in which jobs get a place: by class, then by priority,
// then by when they must begin.
type urgency struct {
	class    urgencyClass
	priority int
	begin    time.Duration
}

// urgencyClass is the first thing that orders jobs.
type urgencyClass int

const (
	begun urgencyClass = iota
	onTime
	late
)

// urgencyOf returns a job's urgency at clock reading now.
func (j *job) urgencyOf(now time.Duration) urgency {
	if j.Due == 0 {
		return urgency{class: onTime, priority: j.Priority, begin: j.Deadline}
	}
	u := urgency{class: onTime, priority: j.Priority, begin: j.Due - j.longest()}
	switch {
	case j.hasBegun():
		u.class = begun
	case now > u.begin:
		u.class = late
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.class, o.class), cmp.Compare(u.priority, o.priority), cmp.Compare(u.begin, o.begin))
}

// longest returns the expected run time of the longest task that waits.
func (j *job) longest() time.Duration {
	if len(j.waiting) == 0 {
		return 0
	}
	return j.tasks[j.waiting[0]].expected
}

// hasBegun reports whether a task of the job was ever sent to an agent.
func (j *job) hasBegun() bool { return j.open > 0 || j.done > 0 || j.ran }

// worthless returns when a job that has not begun is past all use.
func (j *job) worthless() time.Duration {
	if j.Due == 0 {
		return j.Deadline
	}
	return min(j.Deadline, j.arrived+lateFactor*(j.Due-j.arrived))
}

// inOrder returns the jobs of a service that wait for a place, the most urgent
// first. Teams at their quota are left out, and of jobs that are alike the one
// goes first whose team has the fewest tasks running.
func (s *State) inOrder(q *serviceQueue) []*job {
	type ranked struct {
		urgency
		team *team
		job  *job
	}
	var all []ranked
	for name, jobs := range q.teams {
		t := s.team(name)
		if s.atQuota(t) {
			continue
		}
		for _, j := range jobs {
			all = append(all, ranked{j.urgencyOf(s.now), t, j})
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(a.compare(b.urgency), cmp.Compare(a.team.running, b.team.running),
			cmp.Compare(a.team.name, b.team.name), cmp.Compare(a.job.seq, b.job.seq))
	})
	jobs := make([]*job, len(all))
	for i, r := range all {
		jobs[i] = r.job
	}
	return jobs
}

// shed refuses the jobs that have not begun and would end too late for their
// callers even if they began now.
func (s *State) shed() {
	for _, q := range s.queues {
		var past []*job
		for _, jobs := range q.teams {
			for _, j := range jobs {
				if j.Due > 0 && !j.hasBegun() && s.now+j.longest() > j.worthless() {
					past = append(past, j)
				}
			}
		}
		for _, j := range past {
			s.dequeue(j)
			s.drop(j, Answer{Refused: true, Reason: reason.TooLate, Detail: "the job waited until it would end too late"})
		}
	}
}
