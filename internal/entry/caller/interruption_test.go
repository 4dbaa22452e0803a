package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// interrupt lets the entry not run for some time.
func (r *harness) interrupt(length time.Duration, events ...caller.Event) []caller.Action {
	since := r.now
	r.now += length
	return r.step(append([]caller.Event{caller.Interrupted{Since: since}}, events...)...)
}

// settle lets the entry run until it counts as settled after an interruption.
func (r *harness) settle() []caller.Action {
	r.now += 100 * ms
	return r.step(caller.Tick{})
}

func expectInterrupted(t *testing.T, a caller.Answer) {
	t.Helper()
	if a.Complete || a.Reason != reason.EntrySilent || !a.MayHaveRun {
		t.Errorf("answer %+v, want a failure by EntrySilent that may have run", a)
	}
}

// After a long interruption, results that arrive complete a job that was open before,
// and a task that has to be placed again fails it: its caller may have submitted it
// elsewhere.
func TestJobOpenDuringAnInterruption(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("done", time.Second, 50*ms)})
	r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("stopped", time.Second, 50*ms)})
	r.interrupt(time.Second)
	if a := r.answerOf(r.reportTask("a.1", "done", 0, 1, done, reason.Unspecified)); !a.Complete {
		t.Errorf("answer %+v after the result, want a complete one", a)
	}
	acts := r.reportTask("a.1", "stopped", 0, 1, failed, reason.EntrySilent)
	expectStarts(t, "after the run was stopped", startsOf(acts))
	expectInterrupted(t, r.answerOf(acts))
}

// Guards against two runs of one task: the end of a connection that was lost during an
// interruption of 450 ms can arrive later than the job at another entry if it must be
// repeated by TCP and the job's tasks be cancelled.
func TestInterruptionOfAThirdOfTheResubmissionTime(t *testing.T) {
	for length, placed := range map[time.Duration]bool{400 * ms: true, 450 * ms: false} {
		r := newLeasedHarness(t, 8)
		r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", 5*time.Second, 50*ms)})
		r.interrupt(length)
		acts := append(r.reportTask("a.1", "j", 0, 1, failed, reason.EntrySilent), r.settle()...)
		if again := len(startsOf(acts)) > 0; again != placed {
			t.Errorf("after an interruption of %s: placed again %t, want %t", length, again, placed)
		}
	}
}

// Guards against two runs of one task: a job that is admitted between two interruptions in
// quick succession has been open during the second one.
func TestJobOpenDuringTheSecondInterruption(t *testing.T) {
	for length, open := range map[time.Duration]bool{700 * ms: true, 250 * ms: false} {
		r := newLeasedHarness(t, 8)
		r.interrupt(700 * ms)
		r.now += 20 * ms
		r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", 5*time.Second, 50*ms)})
		acts := r.interrupt(length, caller.Tick{})
		acts = append(acts, r.settle()...)
		if !open {
			expectStarts(t, "after a short second interruption", startsOf(acts), "j.0.0/1")
			continue
		}
		expectStarts(t, "after a long second interruption", startsOf(acts))
		if a := r.answerOf(acts); a.Complete || a.Reason != reason.EntrySilent {
			t.Errorf("answer %+v, want a failure by EntrySilent", a)
		}
	}
}

// A start that was sent before a long interruption is not sent again over a new link.
func TestNoStartIsResentAfterAnInterruption(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.interrupt(time.Second, caller.LinkDown{Agent: "a.1"})
	acts := r.step(caller.LinkUp{Agent: "a.1"})
	expectStarts(t, "on the new link", startsOf(acts))
	expectInterrupted(t, r.answerOf(acts))
}

// A submission that waited during a long interruption is placed when the entry has
// learned which callers have left.
func TestSubmissionAfterAnInterruptionIsHeld(t *testing.T) {
	r := newLeasedHarness(t, 8)
	left := r.repeatableJob("left", time.Second, 50*ms)
	expectStarts(t, "at once", startsOf(r.interrupt(time.Second,
		caller.Submit{Ticket: 1, Job: left},
		caller.Submit{Ticket: 2, Job: r.repeatableJob("waits", 3*time.Second, 50*ms)})))
	r.step(caller.Disconnected{Ticket: 1})
	expectStarts(t, "when settled", startsOf(r.settle()), "waits.0.0/1")
}

// Guards against two runs of one task: a submission that lay unread during an
// interruption is refused if its caller may have submitted the job again before the entry
// learns that it has left.
func TestStaleSubmission(t *testing.T) {
	for _, tt := range []struct {
		name        string
		interrupted time.Duration // before the entry reads the submission
		unread      time.Duration // how long it has waited; 0 if that is not known
		joins       bool          // whether the job is open for another submission
		refused     bool
	}{
		{"arrived long before the end", time.Second, 900 * ms, false, true},
		{"the job is open", time.Second, 900 * ms, true, true},
		{"arrived shortly before the end", time.Second, 300 * ms, false, false},
		{"not interrupted", 0, 900 * ms, false, false},
		{"time not known", time.Second, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newLeasedHarness(t, 8)
			job := r.repeatableJob("j", 5*time.Second, 50*ms)
			if tt.joins {
				r.step(caller.Submit{Ticket: 1, Job: job})
			}
			job.ID += "again"
			if tt.unread > 0 {
				job.ReceivedAt = r.now + tt.interrupted - tt.unread
			}
			submission := caller.Submit{Ticket: 2, Job: job}
			var acts []caller.Action
			if tt.interrupted > 0 {
				acts = r.interrupt(tt.interrupted, submission)
			} else {
				acts = r.step(submission)
			}
			if !tt.refused {
				expectStarts(t, "when settled", append(startsOf(acts), startsOf(r.settle())...), "j.0.0/1")
				return
			}
			expectStarts(t, "for a stale submission", append(startsOf(acts), startsOf(r.settle())...))
			if a := r.answerOf(acts); !a.Refused || a.MayHaveRun || a.Reason != reason.SubmissionStale {
				t.Errorf("answer %+v, want a refusal as stale", a)
			}
		})
	}
}

// Short interruptions in quick succession count as one, since the entry may not learn
// between them that a caller has left.
func TestInterruptionsInQuickSuccession(t *testing.T) {
	for _, between := range []time.Duration{50 * ms, 110 * ms} {
		r := newLeasedHarness(t, 8)
		r.interrupt(400 * ms)
		r.now += between
		starts := startsOf(r.interrupt(400*ms, caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)}))
		if held := len(starts) == 0; held != (between == 50*ms) {
			t.Errorf("two interruptions of 400ms, %s apart: starts %v", between, starts)
		}
	}
}

// A ping whose response waits to be received after an interruption is not taken for a
// silent link, which would lose the results that wait there, too.
func TestLinkIsKeptAfterAnInterruption(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.step(caller.PingAll{})
	if n := resetsOf(r.interrupt(2*time.Second, caller.Tick{})); n != 0 {
		t.Errorf("%d links reset before the waiting messages are received, want none", n)
	}
	if n := resetsOf(r.settle()); n != 1 {
		t.Errorf("%d links reset that stay silent, want 1", n)
	}
}

func resetsOf(actions []caller.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(caller.ResetLink); ok {
			n++
		}
	}
	return n
}

// Guards against an entry that serves nothing since it is short of processor time:
// steps that come late one after another are no reason to hold all tasks.
func TestSlowEntryPlacesTasks(t *testing.T) {
	const jobs = 40
	for gap, atLeast := range map[time.Duration]int{210 * ms: jobs / 2, 250 * ms: jobs / 2, 400 * ms: jobs / 3, 700 * ms: jobs / 5} {
		r := newLeasedHarness(t, 8)
		completed := 0
		var reports []caller.Event
		for i := range jobs {
			job := r.repeatableJob(fmt.Sprint("j", i), time.Minute, 50*ms)
			acts := r.interrupt(gap, append(reports, caller.Submit{Ticket: caller.Ticket(i + 1), Job: job}, caller.Tick{})...)
			reports = nil
			for _, a := range acts {
				switch a := a.(type) {
				case caller.Reply:
					if a.Answer.Complete {
						completed++
					}
				case caller.SendToAgent:
					for _, start := range a.Msg.Starts {
						reports = append(reports, caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
							Stamp: int64(r.now), Load: &wirepb.Load{Slots: 8, Room: 8, Open: true},
							Updates: []*wirepb.Update{{Team: "t", JobId: start.Job.JobId, Generation: 1, Task: start.Task, Attempt: start.Attempt, State: done}},
						}})
					}
				}
			}
		}
		if completed < atLeast {
			t.Errorf("steps %s apart: %d of %d jobs completed, want at least %d", gap, completed, jobs, atLeast)
		}
	}
}
