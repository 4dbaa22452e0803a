package caller

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// startupGracePeriod is how long after its start an entry admits jobs although
// it has no agent yet. Agents find a new entry within a second, and announce
// themselves within another 200 ms.
const startupGracePeriod = 3 * time.Second

// handleSubmit adds the caller to the job if this entry already has a record of
// it. Otherwise it admits or refuses the job.
func (s *State) handleSubmit(ev Submit) {
	if s.isStale(&ev.Job) {
		s.refuseStale(ev)
		return
	}
	if existing := s.findJob(&ev.Job); existing != nil {
		s.joinJob(existing, ev.Ticket, ev.Job.Digest[:])
		return
	}
	ev.Job.DefaultRunTime = s.doc.Service(ev.Job.Service).ExpectedRun()
	j := s.newJob(ev.Job)
	s.addJob(j)
	s.addTicket(j, ev.Ticket)
	if j.isRepeatableJob() && s.hasGivenUpTask(j) {
		s.failJob(j, reason.EndpointCrashed, crashDetail)
		return
	}
	if refusal := s.checkAdmission(j); refusal.Refused {
		s.refuseSubmission(j, refusal)
		return
	}
	if j.Repeatable {
		s.retryBudget(j.Service).deposit()
		j.generation = 1
		j.claims = []*wirepb.Claim{{Owner: s.opts.Incarnation, ClaimSeq: j.claimSeq}}
		s.activate(j)
		return
	}
	s.writeFirstClaim(j)
}

func (s *State) newJob(sub Job) *job {
	j := &job{Job: sub, tasks: make([]task, len(sub.Tasks)), deadlineIndex: noDeadlineIndex}
	j.claimSeq, j.claimToken = s.nextClaimSeq()
	j.arrivedAt = s.now
	for i, t := range sub.Tasks {
		j.tasks[i].Task = t
	}
	return j
}

// addJob adds a job to the indexes by key, caller id and deadline.
func (s *State) addJob(j *job) {
	s.jobs[j.Key] = j
	if j.CallerJobID != "" {
		s.openByCallerID[Key{Team: j.Team, ID: j.CallerJobID}] = j
	}
	s.openJobs++
	s.deadlines.add(j)
}

// joinJob adds a caller to those that wait for a job, or answers at once if the
// job has finished.
func (s *State) joinJob(j *job, t Ticket, digest []byte) {
	switch {
	case digest != nil && !bytes.Equal(digest, j.Digest[:]):
		s.reply(t, j.Key, digestMismatch())
	case j.phase == finished:
		s.reply(t, j.Key, j.answer)
	default:
		s.countJobEvent(Joined, reason.Unspecified, j.Key)
		s.addTicket(j, t)
	}
}

// addTicket adds a caller to those that wait for a job.
func (s *State) addTicket(j *job, t Ticket) {
	j.tickets = append(j.tickets, t)
	s.jobsByTicket[t] = j
}

func digestMismatch() Answer {
	return Answer{
		Refused: true,
		Reason:  reason.DigestMismatch,
		Detail:  "the id belongs to a job with different content; this content did not run",
	}
}

// checkAdmission returns the refusal of a job, or a zero Answer if it is admitted.
// A job with a due time is admitted last, since that may refuse waiting jobs.
func (s *State) checkAdmission(j *job) Answer {
	if cause, detail := s.refusalCause(&j.Job); cause != reason.Unspecified {
		return Answer{Refused: true, Reason: cause, Detail: detail}
	}
	if j.Due == 0 {
		return Answer{}
	}
	return s.admitByRoom(j)
}

// refusalCause returns why a job must be refused regardless of the room for it, or
// Unspecified if there is no such reason. For jobs without a due time it includes the
// room.
func (s *State) refusalCause(j *Job) (cause reason.Reason, detail string) {
	served, runnable := s.runnable(j)
	switch {
	case s.stopping && !s.endsBeforeStop(j):
		return reason.Stopping, "the entry is stopping"
	case j.Deadline <= s.now:
		return reason.DeadlinePassed, "the deadline has passed"
	case s.openJobs > s.opts.MaxOpenJobs:
		return reason.Overloaded, "too many jobs are open"
	case s.queuedTasks+len(j.Tasks) > s.opts.MaxQueuedTasks:
		return reason.Overloaded, "too many tasks are queued"
	case s.exceedsQueueQuota(j):
		return reason.TeamQuota, "the team has too many queued tasks"
	case j.Due > 0 && s.now < startupGracePeriod && (!served || !s.configConfirmed()):
		// The job waits for the first agents and the first confirmation of the
		// configuration.
		return reason.Unspecified, ""
	case !served:
		return reason.NoEndpoint, fmt.Sprintf("no endpoint of service %s is known", j.Service)
	case !runnable:
		return reason.NeverRunnable, "a task fits no endpoint of the service"
	case j.Due == 0 && s.endAfterBacklog(j) > j.Deadline:
		return reason.Overloaded, "the job is not expected to end before its deadline"
	case !s.configConfirmed():
		return reason.ViewUnconfirmed, "the entry can't confirm its configuration"
	case !j.Repeatable && !s.tableAvailable:
		return reason.TableUnavailable, "the table service is unavailable"
	}
	return reason.Unspecified, ""
}

const (
	// stopRunMargin is the factor applied to the expected time of a job that is
	// submitted during a planned stop.
	stopRunMargin = 3
	// stopEndMargin is added to that time.
	stopEndMargin = 200 * time.Millisecond
)

// endsBeforeStop reports whether a job that is submitted during a planned stop is
// certain enough to end in time. The balancer may send connections until the end
// of the stop if the zone has no other entry.
func (s *State) endsBeforeStop(j *Job) bool {
	return s.now+stopRunMargin*(s.endAfterBacklog(j)-s.now)+stopEndMargin <= s.stopEndBy
}

// abortJobs fails the open repeatable jobs because the process is about to end.
func (s *State) abortJobs() {
	for _, key := range slices.SortedFunc(maps.Keys(s.jobs), compareKeys) {
		if j := s.jobs[key]; j != nil && j.Repeatable && j.phase != finished {
			s.failJob(j, reason.Stopping, "the entry ended before the job did")
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
}

// endAfterBacklog returns when the job would end after all work that the entry has
// for the service, and not before its own longest task.
func (s *State) endAfterBacklog(j *Job) time.Duration {
	backlog := admission.Backlog{ShareEntries: min(s.liveEntries, rendezvous.HomesPerAgent)}
	for _, t := range j.Tasks {
		expected := s.pool.ExpectedRunTime(j.requirementsOf(&t))
		backlog.Work += expected
		backlog.Longest = max(backlog.Longest, expected)
	}
	if q := s.queues[j.Service]; q != nil {
		backlog.Work += q.expectedWork
	}
	backlog.Slots, backlog.UnusedSlots = s.pool.Capacity(j.Service)
	return s.now + backlog.ExpectedTime()
}

// runnable reports whether any agent serves the job's service, and whether
// every task fits an endpoint of it.
func (s *State) runnable(j *Job) (served, runnable bool) {
	for _, t := range j.Tasks {
		served, runnable = s.pool.Runnable(j.requirementsOf(&t))
		if !runnable {
			return served, false
		}
	}
	return served, runnable
}

// refuseSubmission refuses a job for which nothing has been done. Unless the
// caller stated that the id is new, an earlier submission through another entry
// may have run, so the claim is read before the refusal reports that nothing
// ran.
func (s *State) refuseSubmission(j *job, refusal Answer) {
	if j.Repeatable || j.FirstSubmission {
		s.refuseJob(j, refusal)
		return
	}
	refusal.MayHaveRun = true
	if !s.tableAvailable {
		s.refuseJob(j, refusal)
		return
	}
	j.phase = proving
	j.provisionalAnswer = refusal
	s.emit(ReadClaim{Key: j.Key})
}

// writeFirstClaim claims a job under generation 1.
func (s *State) writeFirstClaim(j *job) {
	j.phase = claiming
	j.generation = 1
	j.rosterWrite = s.storedRosterWrite
	j.claims = []*wirepb.Claim{{Owner: s.opts.Incarnation, ClaimSeq: j.claimSeq}}
	s.emit(WriteClaim{Key: j.Key, Row: j.row(), Deadline: j.Deadline})
}

// activate queues the waiting tasks whose steps are ready, or completes the job
// if all of its tasks are done.
func (s *State) activate(j *job) {
	j.phase = active
	j.countUnfinishedByStep()
	for i := range j.tasks {
		if j.tasks[i].state == waiting && j.stepReady(j.tasks[i].Step) {
			j.tasks[i].expectedRunTime = s.pool.ExpectedRunTime(j.requirements(i))
			j.waitingTasks = append(j.waitingTasks, i)
		}
	}
	slices.SortStableFunc(j.waitingTasks, func(a, b int) int {
		return int(j.tasks[b].expectedRunTime - j.tasks[a].expectedRunTime)
	})
	s.queuedTasks += len(j.waitingTasks)
	if j.doneTasks == len(j.tasks) {
		s.completeJob(j)
		return
	}
	if len(j.waitingTasks) > 0 {
		s.enqueue(j)
	}
}

// handleAwait adds a waiter to a job, and cancels the job if requested. It
// reports a job in phase proving as not found.
func (s *State) handleAwait(ev Await) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase == proving {
		s.emit(JobNotFound{Ticket: ev.Ticket})
		return
	}
	s.joinJob(j, ev.Ticket, ev.Digest)
	if ev.Cancel && j.phase != finished {
		s.cancelJob(j)
	}
}

func (s *State) handlePeek(ev Peek) {
	j := s.jobs[ev.Key]
	if j == nil {
		s.emit(JobNotFound{Ticket: ev.Ticket})
		return
	}
	s.emit(JobStatus{
		Ticket: ev.Ticket,
		Progress: &wirepb.JobProgress{
			Phase:   j.phase.String(),
			Tasks:   uint32(len(j.tasks)),
			Done:    uint32(j.doneTasks),
			Running: uint32(j.tasksAtAgents),
		},
		Finished: j.phase == finished,
		Answer:   j.answer,
	})
}

// handleDisconnected removes a caller from those that wait for a job, and cancels a
// repeatable job with the last one. The job is found by the ticket, since a submission
// that joins a job has another key.
func (s *State) handleDisconnected(ev Disconnected) {
	j := s.jobsByTicket[ev.Ticket]
	if j == nil {
		return
	}
	delete(s.jobsByTicket, ev.Ticket)
	j.tickets = slices.DeleteFunc(j.tickets, func(t Ticket) bool { return t == ev.Ticket })
	if j.Repeatable && len(j.tickets) == 0 {
		s.failJob(j, reason.Cancelled, "the caller disconnected")
	}
}
