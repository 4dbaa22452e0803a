package caller

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// fenceTimeout is how long a take-over waits for the fence reports of agents.
const fenceTimeout = 3 * time.Second

// handleClaimWritten continues a job once its claim is stored. It activates a
// new job, and reads the rosters for the fences of a job that is taken over.
func (s *State) handleClaimWritten(ev ClaimWritten) {
	j := s.jobs[ev.Key]
	if j == nil || j.claimToken != ev.Token {
		return
	}
	j.rowVersion = ev.Version
	switch j.phase {
	case claiming:
		s.activate(j)
	case takingOver:
		j.phase = fencing
		s.emit(ReadRosters{Key: j.Key, Owners: earlierOwners(j.claims)})
	case proving, locating, following, fencing, active, finished:
	}
}

// earlierOwners returns the owners of all claims but the last, without
// duplicates.
func earlierOwners(claims []*wirepb.Claim) []string {
	var owners []string
	for _, c := range claims[:len(claims)-1] {
		if !slices.Contains(owners, c.Owner) {
			owners = append(owners, c.Owner)
		}
	}
	return owners
}

// handleClaimFound continues a job after a read of its claim row, or after a
// write that was rejected because of another claim.
func (s *State) handleClaimFound(ev ClaimFound) {
	j := s.jobs[ev.Key]
	if j == nil || ev.Token != "" && ev.Token != j.claimToken {
		return
	}
	switch j.phase {
	case proving:
		s.answerAfterLookup(j, ev.Row)
	case claiming, takingOver, locating:
		s.followOwner(j, ev.Row, ev.Version)
	case following, fencing, active, finished:
	}
}

// answerAfterLookup answers a job in phase proving by its claim row. While this
// entry's claim is the latest, no other entry has started a task.
func (s *State) answerAfterLookup(j *job, row *wirepb.ClaimRow) {
	switch {
	case !bytes.Equal(row.Digest, j.Digest[:]):
		s.refuseJob(j, digestMismatch())
	case j.claims == nil:
		s.refuseJob(j, j.provisionalAnswer)
	default:
		j.provisionalAnswer.MayHaveRun = row.Token != j.claimToken
		s.finishJob(j, j.provisionalAnswer)
	}
}

// handleClaimAbsent refuses a job that was never claimed, and therefore did not
// run.
func (s *State) handleClaimAbsent(ev ClaimAbsent) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != proving {
		return
	}
	j.provisionalAnswer.MayHaveRun = false
	s.refuseJob(j, j.provisionalAnswer)
}

// handleClaimFailed answers a job after a failed access to its claim row or to
// the rosters. A job whose first claim could not be written is refused, since
// this entry has not started any of its tasks.
func (s *State) handleClaimFailed(ev ClaimFailed) {
	j := s.jobs[ev.Key]
	if j == nil || ev.Token != "" && ev.Token != j.claimToken {
		return
	}
	switch j.phase {
	case proving:
		s.answerAfterFailedLookup(j)
	case claiming:
		s.refuseJob(j, Answer{
			Refused:    true,
			Reason:     reason.TableUnavailable,
			Detail:     "the table service is unavailable",
			MayHaveRun: !j.FirstSubmission,
		})
	case locating, takingOver, fencing:
		s.refuseJob(j, Answer{
			Refused:    true,
			Reason:     reason.TableUnavailable,
			Detail:     "the job could not be taken over",
			MayHaveRun: true,
		})
	case following, active, finished:
	}
}

// answerAfterFailedLookup answers a job in phase proving whose claim could not be
// read.
func (s *State) answerAfterFailedLookup(j *job) {
	if j.claims == nil {
		s.refuseJob(j, j.provisionalAnswer)
		return
	}
	s.finishJob(j, j.provisionalAnswer)
}

// followOwner waits for the answer of the job's owner. If the owner is this
// entry, it no longer has a record of that claim, and takes the job over.
func (s *State) followOwner(j *job, row *wirepb.ClaimRow, version uint64) {
	if !bytes.Equal(row.Digest, j.Digest[:]) {
		s.refuseJob(j, digestMismatch())
		return
	}
	j.phase = following
	j.generation = row.Generation
	j.claims = row.Claims
	j.rowVersion = version
	if j.owner() == s.opts.Incarnation {
		s.takeOver(j)
		return
	}
	s.awaitOwner(j)
}

func (s *State) awaitOwner(j *job) {
	s.emit(AwaitOwner{Key: j.Key, Owner: j.owner(), Digest: j.Digest, Cancel: j.cancelled})
}

func (s *State) handleOwnerAnswered(ev OwnerAnswered) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != following {
		return
	}
	switch {
	case ev.Answer.Complete:
		s.countJobEvent(Finished, reason.Unspecified, j.Key)
	default:
		s.countJobEvent(Failure, ev.Answer.Reason, j.Key)
	}
	s.finishJob(j, ev.Answer)
}

func (s *State) handleOwnerGone(ev OwnerGone) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != following {
		return
	}
	s.takeOver(j)
}

// takeOver writes a claim of the next generation for a job.
func (s *State) takeOver(j *job) {
	s.countJobEvent(TakeOver, reason.OwnerUnknown, j.Key)
	j.phase = takingOver
	j.fences = nil
	j.failedFences = 0
	j.claimSeq, j.claimToken = s.nextClaimSeq()
	j.generation++
	j.rosterWrite = s.storedRosterWrite
	j.claims = append(slices.Clone(j.claims), &wirepb.Claim{Owner: s.opts.Incarnation, ClaimSeq: j.claimSeq})
	s.emit(WriteClaim{Key: j.Key, Row: j.row(), IfVersion: j.rowVersion, Deadline: j.Deadline})
}

// handleSuperseded releases the tasks of a job that another entry has taken
// over, and reads its claim to find the new owner.
func (s *State) handleSuperseded(j *job) {
	s.countJobEvent(Retry, reason.Superseded, j.Key)
	s.dequeue(j)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == sent || t.state == started {
			s.releaseTask(j, i)
			t.state = waiting
		}
	}
	j.phase = locating
	s.emit(ReadClaim{Key: j.Key})
}

// fencingJobs returns the jobs that wait for fence reports, ordered by key. It
// removes jobs in other phases from fencingByKey.
func (s *State) fencingJobs() []*job {
	var jobs []*job
	for key, j := range s.fencingByKey {
		if j.phase != fencing {
			delete(s.fencingByKey, key)
			continue
		}
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// awaitsFenceReport reports whether a fence report of the member is
// outstanding.
func (s *State) awaitsFenceReport(m *agent.Member) bool {
	for _, j := range s.fencingJobs() {
		if state, ok := j.fences[m.Incarnation]; ok && state == fencePending {
			return true
		}
	}
	return false
}

// handleRostersRead fences every agent that an earlier owner may have used. A
// fenced agent reports the tasks of the job that it started, and refuses starts
// of earlier generations.
func (s *State) handleRostersRead(ev RostersRead) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != fencing || j.fences != nil {
		return
	}
	j.fences = map[string]fenceState{}
	j.fenceDeadline = s.now + fenceTimeout
	s.fencingByKey[j.Key] = j
	for _, a := range ev.Agents {
		j.fences[a.Incarnation] = fencePending
		m, added := s.pool.GetOrAdd(s.now, a.Incarnation, a.Address)
		if added {
			s.emit(OpenLink{Agent: m.Incarnation, Address: m.Address})
		}
		if m.Linked {
			s.sendFence(j, m)
		}
	}
	s.settleFences(j)
}

func (s *State) sendFence(j *job, m *agent.Member) {
	msg := s.pendingMessage(m)
	msg.Fences = append(msg.Fences, &wirepb.Fence{Job: j.ref(), Earlier: j.claims[:len(j.claims)-1]})
}

// handleFenceReport adopts the tasks of the job that the agent reports as
// started.
func (s *State) handleFenceReport(m *agent.Member, r *wirepb.FenceReport) {
	j := s.jobs[Key{Team: r.Team, ID: r.JobId}]
	if j == nil || j.phase != fencing || r.Generation != j.generation {
		return
	}
	if state, ok := j.fences[m.Incarnation]; !ok || state == fenceAnswered {
		return
	}
	if r.Superseded {
		s.handleSuperseded(j)
		return
	}
	for _, u := range r.Tasks {
		if !s.adoptTask(j, m, u) {
			return
		}
	}
	if r.Forgotten {
		s.markFenceFailed(j, m.Incarnation)
		return
	}
	j.fences[m.Incarnation] = fenceAnswered
	s.settleFences(j)
}

// adoptTask applies the reported state of a task that an earlier owner started,
// and reports whether the job continues.
func (s *State) adoptTask(j *job, m *agent.Member, u *wirepb.Update) bool {
	if int(u.Task) >= len(j.tasks) || j.tasks[u.Task].state != waiting {
		return true
	}
	t := &j.tasks[u.Task]
	switch u.State {
	case wirepb.TaskState_TASK_STATE_DONE:
		t.state = done
		t.result = u.Result
		j.doneTasks++
	case wirepb.TaskState_TASK_STATE_RUNNING:
		t.state = started
		t.member = m
		t.attempt = u.Attempt
		t.generation = u.Generation
		s.countAdoptedTask(j, t)
		s.pool.RecordTaskSent(s.now, m, j.taskRef(int(u.Task)), j.tasks[u.Task].Need)
	case wirepb.TaskState_TASK_STATE_FAILED:
		t.state = started
		t.member = m
		s.countAdoptedTask(j, t)
		s.failJob(j, reason.Reason(u.Reason), u.Detail)
		return false
	case wirepb.TaskState_TASK_STATE_QUEUED, wirepb.TaskState_TASK_STATE_REFUSED, wirepb.TaskState_TASK_STATE_UNSPECIFIED:
	}
	return true
}

// countAdoptedTask adds a task that an agent has already started to the counts
// of running tasks.
func (s *State) countAdoptedTask(j *job, t *task) {
	j.tasksAtAgents++
	s.team(j.Team).runningTasks++
	s.queueOf(j.Service).expectedWork += t.expectedRunTime
	t.sentAt = s.now
	s.recordPlacement(j, t)
}

// markFenceFailed records that an agent can't report which tasks it started.
func (s *State) markFenceFailed(j *job, incarnation string) {
	j.fences[incarnation] = fenceFailed
	j.failedFences++
	s.settleFences(j)
}

// expireFences marks all outstanding fences of a job as failed.
func (s *State) expireFences(j *job) {
	for incarnation, state := range j.fences {
		if state == fencePending {
			j.fences[incarnation] = fenceFailed
			j.failedFences++
		}
	}
	s.settleFences(j)
}

// settleFences activates the job once every task was reported as started or
// done, or all agents have reported. It fails the job if a task was not reported
// and a fence has failed, since the agent concerned may have started the task.
func (s *State) settleFences(j *job) {
	unresolved := false
	for i := range j.tasks {
		unresolved = unresolved || j.tasks[i].state == waiting
	}
	if !unresolved {
		s.activate(j)
		return
	}
	for _, state := range j.fences {
		if state == fencePending {
			return
		}
	}
	if j.failedFences > 0 {
		s.failJob(j, reason.RecoveryIncomplete, "an agent that may have started a task could not be fenced")
		return
	}
	s.activate(j)
}
