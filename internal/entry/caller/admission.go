package caller

import (
	"fmt"
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// admissionRecord is the decision about a job with a due time.
type admissionRecord struct {
	verdict admission.Verdict
	work    float64 // of the job, in the unit of its share
	large   bool    // whether the job is one of the largest tenth of its kind
	// inputs determined the refusal of this job, or its displacement; nil if it was
	// not refused.
	inputs *admission.Inputs
}

// admitByRoom decides whether a job with a due time is admitted, by when the room
// that it needs becomes free. It refuses the waiting jobs that the job displaces.
func (s *State) admitByRoom(j *job) Answer {
	q := s.queueOf(j.Service)
	candidate := s.candidate(j)
	snapshot := admission.Snapshot{
		Now:             s.now,
		Members:         s.pool.AppendCapacity(s.memberBuffer[:0], s.now, j.Service),
		Observations:    q.room.observations,
		LastObservation: q.room.lastObservation,
		Won:             q.room.won,
	}
	s.memberBuffer = snapshot.Members
	kind := q.room.kind(j.tasks[0].Kind)
	snapshot.Owed = s.recordOffer(j, kind, &candidate)
	var waiting []*job
	if len(q.jobsByTeam) > 0 {
		waiting = s.jobsByUrgency(q)
		snapshot.Waiting = s.waitingJobs(waiting)
	}
	if !snapshot.HasFreeRoom(candidate) {
		snapshot.Running = s.running(q)
	}
	d := admission.Decide(&snapshot, candidate)
	s.emit(AdmissionDecided{Verdict: d.Verdict, Displaced: len(d.Displaced)})
	j.admission.verdict = d.Verdict
	if d.Verdict == admission.Refused {
		j.admission.inputs = &d.Inputs
		return Answer{
			Refused: true, Reason: reason.Overloaded, RetryAfter: d.RetryAfter,
			Detail: fmt.Sprintf("the job is expected to end in %s, which is too late to be of use", d.Inputs.ExpectedEnd.Round(time.Millisecond)),
		}
	}
	j.recordShare(kind, s.now, j.admission.work)
	for _, displaced := range d.Displaced {
		s.refuseDisplaced(waiting[displaced.Index], displaced.RetryAfter, &d.Inputs)
	}
	return Answer{}
}

// refuseDisplaced refuses a waiting job that can't be of use any more since a more
// urgent one takes the room.
func (s *State) refuseDisplaced(j *job, retryAfter time.Duration, inputs *admission.Inputs) {
	j.admission.inputs = inputs
	s.refuseWaiting(j, Answer{
		Refused: true, Reason: reason.Displaced, RetryAfter: retryAfter,
		Detail: "a more urgent job takes the room in which the job could have ended in time",
	})
}

// refuseWaiting refuses a job that was admitted and has not begun.
func (s *State) refuseWaiting(j *job, refusal Answer) {
	if q := s.queues[j.Service]; q != nil {
		j.recordShare(q.room.kind(j.tasks[0].Kind), s.now, -j.admission.work)
	}
	s.dequeue(j)
	s.refuseJob(j, refusal)
}

// candidate returns a submitted job as an input of the decision.
func (s *State) candidate(j *job) admission.Job {
	c := admission.Job{Due: j.Due, Limit: j.usefulUntil()}
	total := time.Duration(0)
	for i := range j.tasks {
		t := &j.tasks[i]
		if i > 0 && t.Kind == j.tasks[i-1].Kind && t.Declared == j.tasks[i-1].Declared {
			t.expectedRunTime = j.tasks[i-1].expectedRunTime
		} else {
			t.expectedRunTime = s.pool.ExpectedRunTime(j.requirementsOf(&t.Task))
		}
		if t.Step < len(j.After) && len(j.After[t.Step]) > 0 {
			continue
		}
		c.Tasks++
		c.NeedMilli = max(c.NeedMilli, t.Need.CPUMilli)
		total += t.expectedRunTime
	}
	c.RunTime = total / time.Duration(max(1, c.Tasks))
	c.Longest = j.longestChain()
	c.Urgency = admission.Urgency{Class: admission.OnTime, Priority: j.Priority, LatestStart: j.Due - c.Longest}
	if s.now > c.Urgency.LatestStart {
		c.Urgency.Class = admission.Late
	}
	return c
}

// longestChain returns the expected run time of the longest chain of dependent steps.
func (j *job) longestChain() time.Duration {
	if len(j.After) < 2 {
		longest := time.Duration(0)
		for i := range j.tasks {
			longest = max(longest, j.tasks[i].expectedRunTime)
		}
		return longest
	}
	ends := make([]time.Duration, len(j.After))
	longest := time.Duration(0)
	for i := range j.tasks {
		t := &j.tasks[i]
		began := time.Duration(0)
		for _, before := range j.After[t.Step] {
			began = max(began, ends[before])
		}
		ends[t.Step] = max(ends[t.Step], began+t.expectedRunTime)
		longest = max(longest, ends[t.Step])
	}
	return longest
}

// waitingJobs returns the waiting jobs as inputs of the decision.
func (s *State) waitingJobs(jobs []*job) []admission.Job {
	all := s.waitingBuffer[:0]
	for _, j := range jobs {
		all = append(all, s.waitingJob(j))
	}
	s.waitingBuffer = all
	return all
}

// waitingJob returns a waiting job as an input of decisions. Its longest waiting task
// comes first.
func (s *State) waitingJob(j *job) admission.Job {
	first, last := &j.tasks[j.waitingTasks[0]], &j.tasks[j.waitingTasks[len(j.waitingTasks)-1]]
	return admission.Job{
		Tasks:     len(j.waitingTasks),
		NeedMilli: first.Need.CPUMilli,
		RunTime:   (first.expectedRunTime + last.expectedRunTime) / 2,
		Longest:   first.expectedRunTime,
		Urgency:   s.urgencyOf(j),
		Due:       j.Due,
		Fixed:     !j.Repeatable || j.hasBegun(),
		Limit:     j.usefulUntil(),
	}
}

// recordOffer adds a job to the work that was offered of its kind, and reports
// whether less than the guaranteed share of the earlier work was admitted. Jobs whose
// callers have waited before don't count, since they go last.
func (s *State) recordOffer(j *job, kind *kindRecord, c *admission.Job) bool {
	if kind == nil || j.WaitedBefore > 0 {
		return false
	}
	j.admission.work = c.UsefulWork(s.now)
	j.admission.large = kind.size.IsLarge(j.admission.work)
	kind.size = kind.size.With(j.admission.work)
	share := &kind.shares[j.shareIndex()]
	owed := share.Owed()
	*share = share.Offered(s.now, j.admission.work)
	return owed
}

// recordShare adds to the work of the job's kind that was admitted.
func (j *job) recordShare(kind *kindRecord, now time.Duration, work float64) {
	if kind != nil {
		share := &kind.shares[j.shareIndex()]
		*share = share.Admitted(now, work)
	}
}

func (j *job) shareIndex() int {
	if j.admission.large {
		return 1
	}
	return 0
}
