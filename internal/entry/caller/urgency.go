package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// urgencyOf returns a job's urgency now.
func (s *State) urgencyOf(j *job) admission.Urgency {
	u := admission.Urgency{Class: admission.OnTime, Priority: j.Priority, LatestStart: j.Due - j.longestWaiting()}
	switch {
	case s.isSuspect(j, j.waitingTasks[0]):
		u.Class = admission.Suspect
	case j.Due == 0:
	case j.hasBegun():
		u.Class = admission.Begun
	case j.admission.verdict == admission.Guaranteed:
		u.Class = admission.Promoted
	case s.now > u.LatestStart:
		u.Class = admission.Late
	}
	if j.Due == 0 {
		u.LatestStart = j.Deadline
	}
	return u
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
	return admission.UsefulUntil(j.arrivedAt-j.WaitedBefore, j.Due, j.Deadline)
}

// rankedJob is a waiting job with its place in the order.
type rankedJob struct {
	admission.Urgency
	team *team
	job  *job
}

func compareRanked(a, b rankedJob) int {
	if c := a.Compare(b.Urgency); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.team.runningTasks, b.team.runningTasks), cmp.Compare(a.team.name, b.team.name), cmp.Compare(a.job.claimSeq, b.job.claimSeq))
}

// jobsByUrgency returns the waiting jobs of a service, the most urgent first.
// Jobs of teams at their quota are left out. Among equally urgent jobs, those
// of the team with the fewest running tasks go first. The result is valid until the
// next call.
func (s *State) jobsByUrgency(q *serviceQueue) []*job {
	all := s.rankedBuffer[:0]
	for name, jobs := range q.jobsByTeam {
		t := s.team(name)
		if s.atRunningQuota(t) {
			continue
		}
		for _, j := range jobs {
			all = append(all, rankedJob{s.urgencyOf(j), t, j})
		}
	}
	slices.SortFunc(all, compareRanked)
	ordered := s.orderedBuffer[:0]
	for i := range all {
		ordered = append(ordered, all[i].job)
	}
	s.rankedBuffer, s.orderedBuffer = all, ordered
	return ordered
}

// leastRunTime returns how long the job needs at least. The expected run time doesn't
// count for the guaranteed share of a kind, since its run may be what corrects it.
func (j *job) leastRunTime() time.Duration {
	if j.admission.verdict == admission.Guaranteed {
		return 0
	}
	return j.longestWaiting()
}

// shedLateJobs refuses the jobs that have not begun and would end too late to
// be useful even if they were placed now.
func (s *State) shedLateJobs() {
	for _, service := range s.queuedServices {
		q := s.queues[service]
		var tooLate []*job
		for _, jobs := range q.jobsByTeam {
			for _, j := range jobs {
				if !j.hasBegun() && admission.TooLate(s.now, j.Due, j.leastRunTime(), j.usefulUntil()) {
					tooLate = append(tooLate, j)
				}
			}
		}
		slices.SortFunc(tooLate, func(a, b *job) int { return cmp.Compare(a.claimSeq, b.claimSeq) })
		for _, j := range tooLate {
			s.refuseWaiting(j, Answer{Refused: true, Reason: reason.TooLate, Detail: "the job waited too long to end in time"})
		}
	}
}
