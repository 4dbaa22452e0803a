package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// During a burst, more work arrives for some seconds than there is room for.
// First come, first served would make every job late. Instead, jobs that can
// still be on time are placed before those that can't, and jobs that have begun
// before all others. Tasks during whose runs an endpoint crashed go last. A job that
// has not begun is refused once its answer would come too late to be useful to the
// caller.

// maxLatenessFactor limits how late an answer is still useful, as a multiple of
// the time from a job's first submission until it is due. The user documentation states
// this limit.
const maxLatenessFactor = 3

// urgency is the order in which jobs are placed: by class, then by priority,
// then by the latest start that is on time.
type urgency struct {
	class       urgencyClass
	priority    int
	latestStart time.Duration
}

// urgencyClass is the primary sort key of jobs.
type urgencyClass int

const (
	begun   urgencyClass = iota // a task was sent to an agent
	onTime                      // can end in time if placed before latestStart
	late                        // latestStart has passed
	suspect                     // the next task is a suspect
)

// urgencyAt returns a job's urgency at clock reading now.
func (j *job) urgencyAt(now time.Duration) urgency {
	if j.Due == 0 {
		return urgency{class: onTime, priority: j.Priority, latestStart: j.Deadline}
	}
	u := urgency{class: onTime, priority: j.Priority, latestStart: j.Due - j.longestWaiting()}
	switch {
	case j.hasBegun():
		u.class = begun
	case now > u.latestStart:
		u.class = late
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.class, o.class), cmp.Compare(u.priority, o.priority), cmp.Compare(u.latestStart, o.latestStart))
}

// longestWaiting returns the expected run time of the longest waiting task.
func (j *job) longestWaiting() time.Duration {
	if len(j.waitingTasks) == 0 {
		return 0
	}
	return j.tasks[j.waitingTasks[0]].expectedRunTime
}

// hasBegun reports whether a task of the job was ever sent to an agent.
func (j *job) hasBegun() bool { return j.tasksAtAgents > 0 || j.doneTasks > 0 || j.hasRun }

// usefulUntil returns the latest time at which the answer of a job that has not
// begun is still useful to the caller.
func (j *job) usefulUntil() time.Duration {
	if j.Due == 0 {
		return j.Deadline
	}
	firstSubmitted := j.arrivedAt - j.WaitedBefore
	return min(j.Deadline, firstSubmitted+maxLatenessFactor*(j.Due-firstSubmitted))
}

// jobsByUrgency returns the waiting jobs of a service, the most urgent first.
// Jobs of teams at their quota are left out. Among equally urgent jobs, those
// of the team with the fewest running tasks go first.
func (s *State) jobsByUrgency(q *serviceQueue) []*job {
	type ranked struct {
		urgency
		team *team
		job  *job
	}
	var all []ranked
	for name, jobs := range q.jobsByTeam {
		t := s.team(name)
		if s.atRunningQuota(t) {
			continue
		}
		for _, j := range jobs {
			u := j.urgencyAt(s.now)
			if s.isSuspect(j, j.waitingTasks[0]) {
				u.class = suspect
			}
			all = append(all, ranked{u, t, j})
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(a.compare(b.urgency), cmp.Compare(a.team.runningTasks, b.team.runningTasks),
			cmp.Compare(a.team.name, b.team.name), cmp.Compare(a.job.claimSeq, b.job.claimSeq))
	})
	jobs := make([]*job, len(all))
	for i, r := range all {
		jobs[i] = r.job
	}
	return jobs
}

// shedLateJobs refuses the jobs that have not begun and would end too late to
// be useful even if they were placed now.
func (s *State) shedLateJobs() {
	for _, service := range s.queuedServices {
		q := s.queues[service]
		var tooLate []*job
		for _, jobs := range q.jobsByTeam {
			for _, j := range jobs {
				if j.Due > 0 && !j.hasBegun() && s.now+j.longestWaiting() > j.usefulUntil() {
					tooLate = append(tooLate, j)
				}
			}
		}
		slices.SortFunc(tooLate, func(a, b *job) int { return cmp.Compare(a.claimSeq, b.claimSeq) })
		for _, j := range tooLate {
			s.dequeue(j)
			s.refuseJob(j, Answer{Refused: true, Reason: reason.TooLate, Detail: "the job waited too long to end in time"})
		}
	}
}
