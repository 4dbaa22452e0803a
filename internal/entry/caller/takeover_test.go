package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// rig drives one State with an agent, "a.1", that claimed jobs may use.
type rig struct {
	t     *testing.T
	state *caller.State
	now   time.Duration
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		t:     t,
		now:   10 * time.Second,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 10, MaxQueuedTasks: 100, AnswerRetention: time.Minute}),
	}
	r.step(
		caller.TableState{Up: true},
		caller.Configured{Document: document.Document{}},
		caller.ViewConfirmed{At: r.now},
		caller.Announced{Info: &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Address: "x", Zone: "z", Service: "s", Slots: 8}},
		caller.LinkUp{Agent: "a.1"},
		caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
		caller.RosterWritten{Write: 1},
	)
	return r
}

func (r *rig) step(events ...caller.Event) []caller.Action {
	r.now += time.Millisecond
	return r.state.Step(r.now, events...)
}

// job returns a job of n tasks that nobody else has.
func (r *rig) job(n int) caller.Job {
	j := newSimJob(0, n).job
	j.Deadline = r.now + time.Minute
	return j
}

// reply returns the only reply among actions.
func (r *rig) reply(actions []caller.Action) caller.Answer {
	r.t.Helper()
	for _, a := range actions {
		if reply, ok := a.(caller.Reply); ok {
			return reply.Answer
		}
	}
	r.t.Fatalf("no reply among %v", actions)
	return caller.Answer{}
}

// takeOver submits a job that an entry that is gone has claimed, up to the
// fence, and returns the job.
func (r *rig) takeOver(n int) caller.Job {
	r.t.Helper()
	job := r.job(n)
	row := &wirepb.ClaimRow{
		Generation: 1, Digest: job.Digest[:], Token: "e.0/1",
		Claims: []*wirepb.Claim{{Owner: "e.0", ClaimSeq: 1}},
	}
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.ClaimFound{Key: job.Key, Row: row, Version: 1})
	claim := r.written(r.step(caller.OwnerGone{Key: job.Key}))
	if claim.Row.Generation != 2 || claim.IfVersion != 1 || len(claim.Row.Claims) != 2 {
		r.t.Fatalf("take-over writes %v", claim)
	}
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 2})
	r.step(caller.RostersRead{Key: job.Key, Agents: []*wirepb.RosterAgent{{Incarnation: "a.1", Address: "x"}}})
	return job
}

func (r *rig) written(actions []caller.Action) caller.WriteClaim {
	r.t.Helper()
	for _, a := range actions {
		if w, ok := a.(caller.WriteClaim); ok {
			return w
		}
	}
	r.t.Fatalf("no claim among %v", actions)
	return caller.WriteClaim{}
}

func (r *rig) report(job caller.Job, report *wirepb.FenceReport) []caller.Action {
	report.Team = job.Team
	report.JobId = job.ID
	report.Generation = 2
	return r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Reports: []*wirepb.FenceReport{report}}})
}

func doneUpdate(job caller.Job, task uint32, generation uint64) *wirepb.Update {
	return &wirepb.Update{
		Team: job.Team, JobId: job.ID, Generation: generation, Task: task, Attempt: 1,
		State: wirepb.TaskState_TASK_STATE_DONE, Result: job.Tasks[task].Payload,
	}
}

// A job whose every task already runs has nothing to be placed, also while
// other jobs of its service wait.
func TestTakeOverOfRunningTasks(t *testing.T) {
	r := newRig(t)
	other := r.job(20)
	other.Team = "u"
	claim := r.written(r.step(caller.Submit{Ticket: 2, Job: other}))
	r.step(caller.ClaimWritten{Key: other.Key, Token: claim.Row.Token, Version: 1})
	job := r.takeOver(1)
	running := doneUpdate(job, 0, 1)
	running.State = wirepb.TaskState_TASK_STATE_RUNNING
	r.report(job, &wirepb.FenceReport{Tasks: []*wirepb.Update{running}})
	r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(other, 0, 1), doneUpdate(other, 1, 1)},
	}})
	answer := r.reply(r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(job, 0, 1)},
	}}))
	if !answer.Complete {
		t.Errorf("answer %+v, want a complete one", answer)
	}
}

func TestTakeOverAdoptsAndStartsTheRest(t *testing.T) {
	r := newRig(t)
	job := r.takeOver(2)
	actions := r.report(job, &wirepb.FenceReport{Tasks: []*wirepb.Update{doneUpdate(job, 0, 1)}})
	var starts []*wirepb.Start
	for _, a := range actions {
		if send, ok := a.(caller.SendAgent); ok {
			starts = append(starts, send.Msg.Starts...)
		}
	}
	if len(starts) != 1 || starts[0].Task != 1 || starts[0].Job.Generation != 2 {
		t.Fatalf("starts %v, want task 1 under generation 2", starts)
	}
	answer := r.reply(r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(job, 1, 2)},
	}}))
	if !answer.Complete || len(answer.Results) != 2 {
		t.Errorf("answer %+v, want two results", answer)
	}
}

// An agent that has dropped records can't prove that a task did not start.
func TestTakeOverAfterForgottenRecords(t *testing.T) {
	r := newRig(t)
	job := r.takeOver(1)
	answer := r.reply(r.report(job, &wirepb.FenceReport{Forgotten: true}))
	if answer.Reason != reason.RecoveryIncomplete || !answer.MayHaveRun {
		t.Errorf("answer %+v, want a failure that may have run", answer)
	}
}

// An entry that knows an agent by a roster only doesn't know its zone, and
// says nothing of the configuration to it.
func TestNoViewForUnknownAgent(t *testing.T) {
	r := newRig(t)
	job := r.job(1)
	row := &wirepb.ClaimRow{
		Generation: 1, Digest: job.Digest[:], Token: "e.0/1",
		Claims: []*wirepb.Claim{{Owner: "e.0", ClaimSeq: 1}},
	}
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.ClaimFound{Key: job.Key, Row: row, Version: 1})
	claim := r.written(r.step(caller.OwnerGone{Key: job.Key}))
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 2})
	r.step(caller.RostersRead{Key: job.Key, Agents: []*wirepb.RosterAgent{{Incarnation: "b.1", Address: "y"}}})
	fenced := false
	for _, a := range r.step(caller.LinkUp{Agent: "b.1"}) {
		if send, ok := a.(caller.SendAgent); ok {
			fenced = fenced || len(send.Msg.Fences) == 1
			if send.Msg.View != nil {
				t.Errorf("view %v for an agent of unknown zone", send.Msg.View)
			}
		}
	}
	if !fenced {
		t.Error("the agent was not fenced")
	}
}

// A member that joined the roster after the claim may not serve the job, since
// whoever takes it over need not know of it.
func TestClaimedJobUsesOnlyItsRoster(t *testing.T) {
	r := newRig(t)
	job := r.job(1)
	r.step(caller.LinkDown{Agent: "a.1"})
	claim := r.written(r.step(caller.Submit{Ticket: 1, Job: job}))
	r.step(
		caller.Announced{Info: &wirepb.AgentInfo{Id: "b", Incarnation: "b.1", Address: "y", Zone: "z", Service: "s", Slots: 8}},
		caller.LinkUp{Agent: "b.1"},
		caller.AgentSaid{Agent: "b.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
		caller.RosterWritten{Write: 2},
	)
	for _, a := range r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 1}, caller.Tick{}) {
		if send, ok := a.(caller.SendAgent); ok && len(send.Msg.Starts) > 0 {
			t.Errorf("task sent to %s, which is not on the roster of the claim", send.Agent)
		}
	}
}

// Callers choose the names of teams and jobs: once they are answered, nothing
// of a request is kept.
func TestRequestsLeaveNothing(t *testing.T) {
	r := newRig(t)
	before := r.state.Size()
	for i := range 100 {
		job := r.job(1)
		job.Team = fmt.Sprintf("team-%d", i)
		job.ID = fmt.Sprintf("~%d", i)
		job.Repeatable = true
		r.step(caller.Submit{Ticket: 1, Job: job})
		answer := r.reply(r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{
			Stamp:   2,
			Load:    &wirepb.Load{Slots: 8, Room: 8, Open: true},
			Updates: []*wirepb.Update{doneUpdate(job, 0, 1)},
		}}))
		if !answer.Complete {
			t.Fatalf("answer %+v, want a complete one", answer)
		}
	}
	if after := r.state.Size(); after != before {
		t.Errorf("the state holds %d jobs and teams, want %d", after, before)
	}
}
