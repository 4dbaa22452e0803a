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

// fenceTimeout is how long a take-over waits for an agent's report.
const fenceTimeout = 3 * time.Second

// claimWritten goes on with a job whose claim this entry now holds.
func (s *State) claimWritten(ev ClaimWritten) {
	j := s.jobs[ev.Key]
	if j == nil || j.token != ev.Token {
		return
	}
	j.rowVersion = ev.Version
	switch j.phase {
	case claiming:
		s.activate(j)
	case takingOver:
		j.phase = fencing
		s.do(ReadRosters{Key: j.Key, Owners: earlierOwners(j.claims)})
	case proving, locating, following, fencing, active, finished:
	}
}

// earlierOwners returns the owners of all claims but the last.
func earlierOwners(claims []*wirepb.Claim) []string {
	var owners []string
	for _, c := range claims[:len(claims)-1] {
		if !slices.Contains(owners, c.Owner) {
			owners = append(owners, c.Owner)
		}
	}
	return owners
}

// claimFound settles a job whose claim somebody else holds.
func (s *State) claimFound(ev ClaimFound) {
	j := s.jobs[ev.Key]
	if j == nil || ev.Token != "" && ev.Token != j.token {
		return
	}
	switch j.phase {
	case proving:
		s.proved(j, ev.Row)
	case claiming, takingOver, locating:
		s.follow(j, ev.Row, ev.Version)
	case following, fencing, active, finished:
	}
}

// proved answers a job whose claim was looked up before its failure. As long
// as this entry's claim is the latest, nobody else has started a task.
func (s *State) proved(j *job, row *wirepb.ClaimRow) {
	switch {
	case !bytes.Equal(row.Digest, j.Digest[:]):
		s.drop(j, mismatch())
	case j.claims == nil:
		s.drop(j, j.refusal)
	default:
		j.refusal.MayHaveRun = row.Token != j.token
		s.finish(j, j.refusal)
	}
}

// claimAbsent refuses a job that was never claimed: it did not run.
func (s *State) claimAbsent(ev ClaimAbsent) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != proving {
		return
	}
	j.refusal.MayHaveRun = false
	s.drop(j, j.refusal)
}

// claimFailed refuses a job that could not be claimed: nothing was started for
// it, and nothing will be.
func (s *State) claimFailed(ev ClaimFailed) {
	j := s.jobs[ev.Key]
	if j == nil || ev.Token != "" && ev.Token != j.token {
		return
	}
	switch j.phase {
	case proving:
		s.lookUpFailed(j)
	case claiming:
		s.drop(j, Answer{
			Refused:    true,
			Reason:     reason.TableUnavailable,
			Detail:     "the table service does not answer",
			MayHaveRun: !j.First,
		})
	case locating, takingOver, fencing:
		s.drop(j, Answer{
			Refused:    true,
			Reason:     reason.TableUnavailable,
			Detail:     "the job could not be taken over",
			MayHaveRun: true,
		})
	case following, active, finished:
	}
}

// lookUpFailed answers a job whose claim could not be looked up.
func (s *State) lookUpFailed(j *job) {
	if j.claims == nil {
		s.drop(j, j.refusal)
		return
	}
	s.finish(j, j.refusal)
}

// follow waits for the answer of the job's owner. A claim of this very entry
// that it does not hold any more is taken over like any other.
func (s *State) follow(j *job, row *wirepb.ClaimRow, version uint64) {
	if !bytes.Equal(row.Digest, j.Digest[:]) {
		s.drop(j, mismatch())
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
	s.askOwner(j)
}

func (s *State) askOwner(j *job) {
	s.do(AskOwner{Key: j.Key, Owner: j.owner(), Digest: j.Digest, Cancel: j.cancelled})
}

func (s *State) ownerAnswered(ev OwnerAnswered) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != following {
		return
	}
	switch {
	case ev.Answer.Complete:
		s.count(Finished, reason.Unspecified, j.Key)
	default:
		s.count(Failure, ev.Answer.Reason, j.Key)
	}
	s.finish(j, ev.Answer)
}

func (s *State) ownerGone(ev OwnerGone) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != following {
		return
	}
	s.takeOver(j)
}

// takeOver claims the next generation of a job.
func (s *State) takeOver(j *job) {
	s.count(TakeOver, reason.OwnerUnknown, j.Key)
	j.phase = takingOver
	j.fences = nil
	j.unknown = 0
	j.seq, j.token = s.nextSeq()
	j.generation++
	j.roster = s.rosterSafe
	j.claims = append(slices.Clone(j.claims), &wirepb.Claim{Owner: s.opts.Incarnation, ClaimSeq: j.seq})
	s.do(WriteClaim{Key: j.Key, Row: j.row(), IfVersion: j.rowVersion, Deadline: j.Deadline})
}

// superseded looks up who has taken the job over.
func (s *State) superseded(j *job) {
	s.count(Retry, reason.Superseded, j.Key)
	s.dequeue(j)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == sent || t.state == started {
			s.release(j, i)
			t.state = waiting
		}
	}
	j.phase = locating
	s.do(ReadClaim{Key: j.Key})
}

// fencing returns the jobs that wait for fence reports, by key.
func (s *State) fencing() []*job {
	var jobs []*job
	for key, j := range s.fenced {
		if j.phase != fencing {
			delete(s.fenced, key)
			continue
		}
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

func (s *State) awaitsFence(m *agent.Member) bool {
	for _, j := range s.fencing() {
		if state, ok := j.fences[m.Incarnation]; ok && state == fenceSent {
			return true
		}
	}
	return false
}

// rostersRead fences every agent that an earlier owner may have used.
func (s *State) rostersRead(ev RostersRead) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase != fencing || j.fences != nil {
		return
	}
	j.fences = map[string]fenceState{}
	j.giveUp = s.now + fenceTimeout
	s.fenced[j.Key] = j
	for _, a := range ev.Agents {
		j.fences[a.Incarnation] = fenceSent
		m, added := s.pool.Ensure(s.now, a.Incarnation, a.Address)
		if added {
			s.do(OpenLink{Agent: m.Incarnation, Address: m.Address})
		}
		if m.Linked {
			s.sendFence(j, m)
		}
	}
	s.settleFences(j)
}

func (s *State) sendFence(j *job, m *agent.Member) {
	msg := s.message(m)
	msg.Fences = append(msg.Fences, &wirepb.Fence{Job: j.ref(), Earlier: j.claims[:len(j.claims)-1]})
}

// fenceReport adopts what an agent started for the job.
func (s *State) fenceReport(m *agent.Member, r *wirepb.FenceReport) {
	j := s.jobs[Key{Team: r.Team, ID: r.JobId}]
	if j == nil || j.phase != fencing || r.Generation != j.generation {
		return
	}
	if state, ok := j.fences[m.Incarnation]; !ok || state == fenceAnswered {
		return
	}
	if r.Superseded {
		s.superseded(j)
		return
	}
	for _, u := range r.Tasks {
		if !s.adopt(j, m, u) {
			return
		}
	}
	if r.Forgotten {
		s.fenceLost(j, m.Incarnation)
		return
	}
	j.fences[m.Incarnation] = fenceAnswered
	s.settleFences(j)
}

// adopt takes over one started task, and reports whether the job goes on.
func (s *State) adopt(j *job, m *agent.Member, u *wirepb.Update) bool {
	if int(u.Task) >= len(j.tasks) || j.tasks[u.Task].state != waiting {
		return true
	}
	t := &j.tasks[u.Task]
	switch u.State {
	case wirepb.TaskState_TASK_STATE_DONE:
		t.state = done
		t.result = u.Result
		j.done++
	case wirepb.TaskState_TASK_STATE_RUNNING:
		t.state = started
		t.on = m
		t.attempt = u.Attempt
		t.generation = u.Generation
		s.hold(j, t)
		s.pool.Sent(s.now, m, j.taskRef(int(u.Task)))
	case wirepb.TaskState_TASK_STATE_FAILED:
		t.state = started
		t.on = m
		s.hold(j, t)
		s.fail(j, reason.Reason(u.Reason), u.Detail)
		return false
	case wirepb.TaskState_TASK_STATE_QUEUED, wirepb.TaskState_TASK_STATE_REFUSED, wirepb.TaskState_TASK_STATE_UNSPECIFIED:
	}
	return true
}

// hold counts a task that an agent holds, as if it had been placed.
func (s *State) hold(j *job, t *task) {
	j.open++
	s.team(j.Team).running++
	s.queue(j.Service).work += t.expected
}

// fenceLost counts an agent as one that can't answer.
func (s *State) fenceLost(j *job, incarnation string) {
	j.fences[incarnation] = fenceLost
	j.unknown++
	s.settleFences(j)
}

func (s *State) giveUpFences(j *job) {
	for incarnation, state := range j.fences {
		if state == fenceSent {
			j.fences[incarnation] = fenceLost
			j.unknown++
		}
	}
	s.settleFences(j)
}

// settleFences goes on once the outcome of every task is known, or every agent
// has answered or is lost.
func (s *State) settleFences(j *job) {
	missing := false
	for i := range j.tasks {
		missing = missing || j.tasks[i].state == waiting
	}
	if !missing {
		s.activate(j)
		return
	}
	for _, state := range j.fences {
		if state == fenceSent {
			return
		}
	}
	if j.unknown > 0 {
		s.fail(j, reason.RecoveryIncomplete, "an agent that may have started a task can't answer")
		return
	}
	s.activate(j)
}
