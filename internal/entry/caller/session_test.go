package caller_test

import (
	"testing"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Guards against tasks that are given up on a live agent: the end of a link that was
// given up can be reported after its next one has opened.
func TestLateEndOfAnEarlierSessionKeepsTheLink(t *testing.T) {
	r := newHarness(t)
	r.step(caller.LinkUp{Agent: "a.1", Session: 4})
	job := r.newJob(1)
	claim := r.writtenClaim(r.step(caller.Submit{Ticket: 1, Job: job}))
	r.step(caller.ClaimWritten{Key: job.Key, Token: claim.Row.Token, Version: 1})
	for _, act := range r.step(caller.LinkDown{Agent: "a.1", Session: 3, Gone: true}) {
		switch act := act.(type) {
		case caller.Reply:
			t.Errorf("the job was answered with %+v", act.Answer)
		case caller.CloseLink:
			t.Error("the link in use was closed")
		}
	}
	acts := r.step(caller.LinkDown{Agent: "a.1", Session: 4, Gone: true})
	if answer := r.answerOf(acts); answer.Reason != reason.AgentLost {
		t.Errorf("answer %+v after the end of the latest session, want a failure by AgentLost", answer)
	}
}

// Guards against messages to a session that has ended: its opening can be reported
// after that of the next link.
func TestLateOpeningOfAnEarlierSessionIsIgnored(t *testing.T) {
	r := newHarness(t)
	r.step(caller.LinkUp{Agent: "a.1", Session: 4})
	for _, act := range r.step(caller.LinkUp{Agent: "a.1", Session: 3}, caller.PingAll{}) {
		if send, ok := act.(caller.SendToAgent); ok && send.Session != 4 {
			t.Errorf("a message in session %d, want it in session 4", send.Session)
		}
	}
}

// Guards against a request that is said not to have run although it had started: its
// link breaks, and it waits for its retry until the deadline.
func TestRetriedRequestMayHaveRun(t *testing.T) {
	r := newHarness(t)
	r.step(caller.LinkUp{Agent: "a.1", Session: 4})
	job := r.newJob(1)
	job.Repeatable = true
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.LinkDown{Agent: "a.1", Session: 4, Gone: true})
	r.now = job.Deadline + 1
	if answer := r.answerOf(r.step(caller.Tick{})); answer.Refused || !answer.MayHaveRun {
		t.Errorf("answer %+v, want one that may have run", answer)
	}
}
