package caller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// submitJoined submits a repeatable job with ticket 1, submits it again under another
// key with ticket 2, and awaits it with ticket 3.
func (r *harness) submitJoined(job caller.Job) {
	again := job
	again.ID += "-again"
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.Submit{Ticket: 2, Job: again})
	r.step(caller.Await{Ticket: 3, Key: job.Key})
}

// leave reports that the caller of a ticket has disconnected.
func (r *harness) leave(ticket caller.Ticket) []caller.Action {
	return r.step(caller.Disconnected{Ticket: ticket})
}

// cancelsOf formats the cancels among actions as job.task/attempt.
func cancelsOf(actions []caller.Action) []string {
	var all []string
	for _, a := range actions {
		if send, ok := a.(caller.SendToAgent); ok {
			for _, c := range send.Msg.Cancels {
				all = append(all, fmt.Sprintf("%s.%d/%d", c.Job.JobId, c.Task, c.Attempt))
			}
		}
	}
	return all
}

// repliesOf returns the tickets that are sent a complete answer.
func repliesOf(actions []caller.Action) []caller.Ticket {
	var all []caller.Ticket
	for _, a := range actions {
		if reply, ok := a.(caller.Reply); ok && reply.Answer.Complete {
			all = append(all, reply.Ticket)
		}
	}
	return all
}

func expectCancels(t *testing.T, occasion string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: cancels %v, want %v", occasion, got, want)
	}
}

// Guards against a job that runs on after all of its callers have left, while they
// submit it to another entry.
func TestJobEndsWithItsLastCaller(t *testing.T) {
	for _, order := range [][]caller.Ticket{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
		r := newLeasedHarness(t, 8)
		before := r.state.Size()
		job := r.repeatableJob("j", time.Second, 50*ms, 50*ms)
		r.submitJoined(job)
		for _, ticket := range order[:2] {
			expectCancels(t, fmt.Sprintf("order %v, caller %d leaves", order, ticket), cancelsOf(r.leave(ticket)))
		}
		expectCancels(t, fmt.Sprintf("order %v, the last caller leaves", order), cancelsOf(r.leave(order[2])), "~j.0/1", "~j.1/1")
		if after := r.state.Size(); after != before {
			t.Errorf("order %v: the state has records of %d jobs, teams and callers after the end, want %d", order, after, before)
		}
	}
}

// Guards against a job that is cancelled although one of its callers still waits.
func TestJobGoesOnForTheCallerThatStays(t *testing.T) {
	for _, stays := range []caller.Ticket{1, 2, 3} {
		r := newLeasedHarness(t, 8)
		job := r.repeatableJob("j", time.Second, 50*ms)
		r.submitJoined(job)
		for _, ticket := range []caller.Ticket{1, 2, 3} {
			if ticket != stays {
				expectCancels(t, fmt.Sprintf("caller %d stays, %d leaves", stays, ticket), cancelsOf(r.leave(ticket)))
			}
		}
		if got := repliesOf(r.reportTask("a.1", "j", 0, 1, done, reason.Unspecified)); !slices.Equal(got, []caller.Ticket{stays}) {
			t.Errorf("caller %d stays: complete answers to %v", stays, got)
		}
	}
}

// Guards against a job that is cancelled when a caller leaves that has been answered
// already, or never waited for the job.
func TestCallersThatDoNotWaitEndNoJob(t *testing.T) {
	r := newLeasedHarness(t, 8)
	late := r.repeatableJob("j", time.Second, 50*ms)
	late.ID, late.Deadline = "~late", r.now
	answered := r.repeatableJob("j", time.Second, 50*ms)
	answered.ID = "~answered"
	open := r.repeatableJob("j", time.Second, 50*ms)
	other := r.repeatableJob("j", time.Second, 50*ms)
	other.ID, other.Digest = "~other", digest("other")
	r.step(caller.Submit{Ticket: 1, Job: late})
	r.step(caller.Submit{Ticket: 2, Job: answered})
	r.reportTask("a.1", "answered", 0, 1, done, reason.Unspecified)
	r.step(caller.Submit{Ticket: 3, Job: open})
	r.step(caller.Submit{Ticket: 4, Job: other})
	r.step(caller.Await{Ticket: 5, Key: answered.Key})
	r.step(caller.Await{Ticket: 6, Key: open.Key, Digest: other.Digest[:]})
	r.step(caller.Peek{Ticket: 7, Key: open.Key})
	for _, ticket := range []caller.Ticket{1, 2, 4, 5, 6, 7, 8} {
		expectCancels(t, fmt.Sprintf("caller %d leaves", ticket), cancelsOf(r.leave(ticket)))
	}
	if got := repliesOf(r.reportTask("a.1", "j", 0, 1, done, reason.Unspecified)); !slices.Equal(got, []caller.Ticket{3}) {
		t.Errorf("complete answers to %v, want one to the caller that waits, 3", got)
	}
}

// Guards against a claimed job that ends, or whose answer is lost, when all of its
// callers have left.
func TestClaimedJobGoesOnWithoutCallers(t *testing.T) {
	r := newHarness(t)
	job := r.newJob(1)
	claim := r.writtenClaim(r.step(caller.Submit{Ticket: 1, Job: job}))
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 1})
	r.step(caller.Submit{Ticket: 2, Job: job})
	r.step(caller.Await{Ticket: 3, Key: job.Key})
	for _, ticket := range []caller.Ticket{1, 2, 3} {
		expectCancels(t, fmt.Sprintf("caller %d leaves", ticket), cancelsOf(r.leave(ticket)))
	}
	if got := repliesOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Updates: []*wirepb.Update{doneUpdate(job, 0, 1)}}})); len(got) > 0 {
		t.Errorf("answers to %v, want none to callers that have left", got)
	}
	if answer := r.answerOf(r.step(caller.Submit{Ticket: 4, Job: job})); !answer.Complete {
		t.Errorf("answer %+v to a later submission, want a complete one", answer)
	}
}
