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

// harness drives one State with the agent "a.1", which is on the stored roster
// and may serve claimed jobs.
type harness struct {
	t     *testing.T
	state *caller.State
	now   time.Duration
	// crashes counts the crashes that reportCrash has reported, by agent and task.
	crashes map[string]uint32
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	r := &harness{
		t:     t,
		now:   10 * time.Second,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 10, MaxQueuedTasks: 100, AnswerRetention: time.Minute}),
	}
	r.step(
		caller.TableAvailability{Available: true},
		caller.ConfigurationLoaded{Document: document.Document{}},
		caller.ViewConfirmed{At: r.now},
		caller.AgentAnnounced{Info: &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Address: "x", Zone: "z", Service: "s", Slots: 8}},
		caller.LinkUp{Agent: "a.1"},
		caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
		caller.RosterWritten{WriteNumber: 1},
	)
	return r
}

func (r *harness) step(events ...caller.Event) []caller.Action {
	r.now += time.Millisecond
	return r.state.Step(r.now, events...)
}

// newJob returns a job of n tasks without an earlier claim.
func (r *harness) newJob(n int) caller.Job {
	j := newSimJob(0, n).job
	j.Deadline = r.now + time.Minute
	return j
}

// answerOf returns the answer in the first reply among actions.
func (r *harness) answerOf(actions []caller.Action) caller.Answer {
	r.t.Helper()
	for _, a := range actions {
		if reply, ok := a.(caller.Reply); ok {
			return reply.Answer
		}
	}
	r.t.Fatalf("actions %v, want a reply among them", actions)
	return caller.Answer{}
}

// startTakeOver submits a job that entry incarnation e.0 has claimed, reports
// that owner as gone, and continues the take-over until agent a.1 is fenced.
func (r *harness) startTakeOver(n int) caller.Job {
	r.t.Helper()
	job := r.newJob(n)
	row := &wirepb.ClaimRow{
		Generation: 1, Digest: job.Digest[:], Token: "e.0/1",
		Claims: []*wirepb.Claim{{Owner: "e.0", ClaimSeq: 1}},
	}
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.ClaimFound{Key: job.Key, Row: row, Version: 1})
	claim := r.writtenClaim(r.step(caller.OwnerGone{Key: job.Key}))
	if claim.Row.Generation != 2 || claim.IfVersion != 1 || len(claim.Row.Claims) != 2 {
		r.t.Fatalf("claim of the take-over %v, want generation 2 with two claims in place of version 1", claim)
	}
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 2})
	r.step(caller.RostersRead{Key: job.Key, Agents: []*wirepb.RosterAgent{{Incarnation: "a.1", Address: "x"}}})
	return job
}

// writtenClaim returns the first claim write among actions.
func (r *harness) writtenClaim(actions []caller.Action) caller.WriteClaim {
	r.t.Helper()
	for _, a := range actions {
		if w, ok := a.(caller.WriteClaim); ok {
			return w
		}
	}
	r.t.Fatalf("actions %v, want a claim write among them", actions)
	return caller.WriteClaim{}
}

// sendFenceReport delivers a fence report of agent "a.1" for generation 2 of a
// job.
func (r *harness) sendFenceReport(job caller.Job, report *wirepb.FenceReport) []caller.Action {
	report.Team = job.Team
	report.JobId = job.ID
	report.Generation = 2
	return r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Reports: []*wirepb.FenceReport{report}}})
}

// doneUpdate returns a report that a task has ended with its payload as result.
func doneUpdate(job caller.Job, task uint32, generation uint64) *wirepb.Update {
	return &wirepb.Update{
		Team: job.Team, JobId: job.ID, Generation: generation, Task: task, Attempt: 1,
		State: wirepb.TaskState_TASK_STATE_DONE, Result: job.Tasks[task].Payload,
	}
}

// A job whose tasks all run already has nothing to place when it is taken over.
// It must stay out of its service's queue, also while other jobs wait there.
func TestTakeOverOfRunningTasks(t *testing.T) {
	r := newHarness(t)
	other := r.newJob(20)
	other.Team = "u"
	claim := r.writtenClaim(r.step(caller.Submit{Ticket: 2, Job: other}))
	r.step(caller.ClaimWritten{Key: other.Key, Token: claim.Row.Token, Version: 1})
	job := r.startTakeOver(1)
	running := doneUpdate(job, 0, 1)
	running.State = wirepb.TaskState_TASK_STATE_RUNNING
	r.sendFenceReport(job, &wirepb.FenceReport{Tasks: []*wirepb.Update{running}})
	r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(other, 0, 1), doneUpdate(other, 1, 1)},
	}})
	answer := r.answerOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(job, 0, 1)},
	}}))
	if !answer.Complete {
		t.Errorf("answer %+v, want a complete one", answer)
	}
}

func TestTakeOverAdoptsAndStartsTheRest(t *testing.T) {
	r := newHarness(t)
	job := r.startTakeOver(2)
	actions := r.sendFenceReport(job, &wirepb.FenceReport{Tasks: []*wirepb.Update{doneUpdate(job, 0, 1)}})
	var starts []*wirepb.Start
	for _, a := range actions {
		if send, ok := a.(caller.SendToAgent); ok {
			starts = append(starts, send.Msg.Starts...)
		}
	}
	if len(starts) != 1 || starts[0].Task != 1 || starts[0].Job.Generation != 2 {
		t.Fatalf("starts %v, want task 1 under generation 2", starts)
	}
	answer := r.answerOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp: 3, Updates: []*wirepb.Update{doneUpdate(job, 1, 2)},
	}}))
	if !answer.Complete || len(answer.Results) != 2 {
		t.Errorf("answer %+v, want two results", answer)
	}
}

// An agent that has dropped ledger records can't prove that a task did not
// start, so the take-over fails.
func TestTakeOverAfterForgottenRecords(t *testing.T) {
	r := newHarness(t)
	job := r.startTakeOver(1)
	answer := r.answerOf(r.sendFenceReport(job, &wirepb.FenceReport{Forgotten: true}))
	if answer.Reason != reason.RecoveryIncomplete || !answer.MayHaveRun {
		t.Errorf("answer %+v, want a failure that may have run", answer)
	}
}

// The record of an agent that was only read from a roster has no zone, so the
// entry must not send the agent a view of the configuration.
func TestNoViewForAgentKnownFromRoster(t *testing.T) {
	r := newHarness(t)
	job := r.newJob(1)
	row := &wirepb.ClaimRow{
		Generation: 1, Digest: job.Digest[:], Token: "e.0/1",
		Claims: []*wirepb.Claim{{Owner: "e.0", ClaimSeq: 1}},
	}
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.ClaimFound{Key: job.Key, Row: row, Version: 1})
	claim := r.writtenClaim(r.step(caller.OwnerGone{Key: job.Key}))
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 2})
	r.step(caller.RostersRead{Key: job.Key, Agents: []*wirepb.RosterAgent{{Incarnation: "b.1", Address: "y"}}})
	fenced := false
	for _, a := range r.step(caller.LinkUp{Agent: "b.1"}) {
		if send, ok := a.(caller.SendToAgent); ok {
			fenced = fenced || len(send.Msg.Fences) == 1
			if send.Msg.View != nil {
				t.Errorf("view %v for an agent of unknown zone, want none", send.Msg.View)
			}
		}
	}
	if !fenced {
		t.Error("agent b.1 was sent no fence, want one")
	}
}

// An agent that joined the roster after the claim may not serve the job: an
// entry that takes the job over may not read it in the roster, and would not
// fence it.
func TestClaimedJobUsesOnlyItsRoster(t *testing.T) {
	r := newHarness(t)
	job := r.newJob(1)
	r.step(caller.LinkDown{Agent: "a.1"})
	claim := r.writtenClaim(r.step(caller.Submit{Ticket: 1, Job: job}))
	r.step(
		caller.AgentAnnounced{Info: &wirepb.AgentInfo{Id: "b", Incarnation: "b.1", Address: "y", Zone: "z", Service: "s", Slots: 8}},
		caller.LinkUp{Agent: "b.1"},
		caller.AgentMessage{Agent: "b.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
		caller.RosterWritten{WriteNumber: 2},
	)
	for _, a := range r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 1}, caller.Tick{}) {
		if send, ok := a.(caller.SendToAgent); ok && len(send.Msg.Starts) > 0 {
			t.Errorf("task sent to %s, want none sent to an agent that is not on the roster of the claim", send.Agent)
		}
	}
}

// Callers choose the names of teams and jobs, so the state must not keep
// anything of a request after its answer.
func TestFinishedRequestsLeaveNoState(t *testing.T) {
	r := newHarness(t)
	before := r.state.Size()
	for i := range 100 {
		job := r.newJob(1)
		job.Team = fmt.Sprintf("team-%d", i)
		job.ID = fmt.Sprintf("~%d", i)
		job.Repeatable = true
		r.step(caller.Submit{Ticket: 1, Job: job})
		answer := r.answerOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
			Stamp:   2,
			Load:    &wirepb.Load{Slots: 8, Room: 8, Open: true},
			Updates: []*wirepb.Update{doneUpdate(job, 0, 1)},
		}}))
		if !answer.Complete {
			t.Fatalf("answer %+v, want a complete one", answer)
		}
	}
	if after := r.state.Size(); after != before {
		t.Errorf("the state has records of %d jobs, teams and callers, want %d", after, before)
	}
}
