package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// orphanRunLimit is how long after its last message the agent of these tests may
// still run tasks.
const orphanRunLimit = 1300 * ms

// newLeasedHarness drives a State with the agent incarnation "a.1" of the agent
// "a", which has room for the given number of starts. Its runs end by
// themselves after orphanRunLimit.
func newLeasedHarness(t *testing.T, room uint32) *harness {
	t.Helper()
	r := &harness{
		t:     t,
		now:   10 * time.Second,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: time.Minute}),
	}
	r.step(caller.ViewConfirmed{At: r.now + time.Hour})
	r.joinAgent("a.1", room)
	return r
}

// joinAgent announces and links an incarnation of the agent "a".
func (r *harness) joinAgent(incarnation string, room uint32) []caller.Action {
	return r.step(
		caller.AgentAnnounced{Info: &wirepb.AgentInfo{
			Id: "a", Incarnation: incarnation, Address: "x", Zone: "z", Service: "s", Slots: room,
			Capacity: resources.Resources{CPUMilli: 16000}.Wire(), RunsOverMs: uint32(orphanRunLimit.Milliseconds()),
		}},
		caller.LinkUp{Agent: incarnation},
		caller.AgentMessage{Agent: incarnation, Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: room, Room: room, Open: true}}},
	)
}

// repeatableJob returns a job that is due after the given time, with one task
// for each declared run time.
func (r *harness) repeatableJob(name string, due time.Duration, runs ...time.Duration) caller.Job {
	j := caller.Job{
		Key: caller.Key{Team: "t", ID: "~" + name}, CallerJobID: name, Service: "s", Digest: digest(name),
		Repeatable: true, MaxAttempts: 3, Due: r.now + due, Deadline: r.now + time.Minute,
	}
	for i, run := range runs {
		j.Tasks = append(j.Tasks, caller.Task{Kind: "k", Index: i, Declared: run, Need: resources.Resources{CPUMilli: 1000}})
	}
	return j
}

// startsOf formats the starts among actions as name.step.index/attempt.
func startsOf(actions []caller.Action) []string {
	var all []string
	for _, a := range actions {
		if send, ok := a.(caller.SendToAgent); ok {
			for _, s := range send.Msg.Starts {
				all = append(all, fmt.Sprintf("%s.%d.%d/%d", s.Name, s.Step, s.Index, s.Attempt))
			}
		}
	}
	return all
}

// reportTask delivers an agent's report about one task.
func (r *harness) reportTask(incarnation, name string, task, attempt uint32, state wirepb.TaskState, cause reason.Reason) []caller.Action {
	return r.step(caller.AgentMessage{Agent: incarnation, Msg: &wirepb.FromAgent{
		Stamp: int64(r.now), Load: &wirepb.Load{Slots: 8, Room: 8, Open: true},
		Updates: []*wirepb.Update{{Team: "t", JobId: "~" + name, Generation: 1, Task: task, Attempt: attempt, State: state, Reason: uint32(cause)}},
	}})
}

func expectStarts(t *testing.T, occasion string, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: starts %v, want %v", occasion, got, want)
	}
}

const (
	running = wirepb.TaskState_TASK_STATE_RUNNING
	done    = wirepb.TaskState_TASK_STATE_DONE
	failed  = wirepb.TaskState_TASK_STATE_FAILED
)

// Only failures of the run itself count against the attempt limit.
func TestRepeatableAttempts(t *testing.T) {
	r := newLeasedHarness(t, 8)
	expectStarts(t, "first", startsOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})), "j.0.0/1")
	expectStarts(t, "after a lapse", startsOf(r.reportTask("a.1", "j", 0, 1, failed, reason.LeaseLapsed)), "j.0.0/2")
	expectStarts(t, "after a failure", startsOf(r.reportTask("a.1", "j", 0, 2, failed, reason.EndpointFailed)), "j.0.0/3")
	expectStarts(t, "after the same failure again", startsOf(r.reportTask("a.1", "j", 0, 2, failed, reason.EndpointFailed)))
	expectStarts(t, "after a second failure", startsOf(r.reportTask("a.1", "j", 0, 3, failed, reason.EndpointFailed)), "j.0.0/4")
	answer := r.answerOf(r.reportTask("a.1", "j", 0, 4, failed, reason.EndpointFailed))
	if answer.Complete || answer.Reason != reason.EndpointFailed || !answer.MayHaveRun {
		t.Errorf("answer %+v after three failures, want a failure by EndpointFailed that may have run", answer)
	}
}

// A task of an unreachable agent is placed again once its run is known to have
// ended, and not before.
func TestRepeatableWaitsUntilRunHasEnded(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.step(caller.LinkDown{Agent: "a.1", Gone: true})
	linkLostAt := r.now
	r.step(
		caller.AgentAnnounced{Info: &wirepb.AgentInfo{Id: "b", Incarnation: "b.1", Address: "y", Zone: "z", Service: "s", Slots: 8, RunsOverMs: 1300}},
		caller.LinkUp{Agent: "b.1"},
		caller.AgentMessage{Agent: "b.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
	)
	r.now = linkLostAt + orphanRunLimit - 10*ms
	expectStarts(t, "before the orphan run limit", startsOf(r.step(caller.Tick{})))
	r.now = linkLostAt + orphanRunLimit + 10*ms
	expectStarts(t, "after the orphan run limit", startsOf(r.step(caller.Tick{})), "j.0.0/2")
}

// A new incarnation of an agent has stopped the runs of the previous one, so
// its tasks are placed again at once.
func TestRepeatableAfterAgentRestart(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.step(caller.LinkDown{Agent: "a.1", Gone: true})
	expectStarts(t, "at the new incarnation", startsOf(r.joinAgent("a.2", 8)), "j.0.0/2")
}

// When the caller disconnects, the runs of its job are cancelled.
func TestRepeatableCallerDisconnects(t *testing.T) {
	r := newLeasedHarness(t, 8)
	job := r.repeatableJob("j", time.Second, 50*ms, 50*ms)
	r.step(caller.Submit{Ticket: 1, Job: job})
	cancels := 0
	for _, a := range r.step(caller.Disconnected{Ticket: 1}) {
		if send, ok := a.(caller.SendToAgent); ok {
			cancels += len(send.Msg.Cancels)
		}
	}
	if cancels != 2 {
		t.Errorf("%d cancels after the caller disconnected, want 2", cancels)
	}
}

// A job that is submitted again under the same id while it is open is answered
// once for each submission, without new starts.
func TestRepeatableResubmittedToSameEntry(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	again := r.repeatableJob("j", time.Second, 50*ms)
	again.ID = "~other"
	expectStarts(t, "after a resubmission", startsOf(r.step(caller.Submit{Ticket: 2, Job: again})))
	replies := 0
	for _, a := range r.reportTask("a.1", "j", 0, 1, done, reason.Unspecified) {
		if reply, ok := a.(caller.Reply); ok && reply.Answer.Complete {
			replies++
		}
	}
	if replies != 2 {
		t.Errorf("%d complete answers, want one for each of the two submissions", replies)
	}
}

// A failure after a run has begun must not report that nothing ran.
func TestRepeatableDeadlineAfterARun(t *testing.T) {
	r := newLeasedHarness(t, 8)
	job := r.repeatableJob("j", 100*ms, 50*ms)
	job.Deadline = r.now + 200*ms
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Load: &wirepb.Load{}}})
	r.reportTask("a.1", "j", 0, 1, failed, reason.LeaseLapsed)
	r.now += time.Second
	if answer := r.answerOf(r.step(caller.Tick{})); !answer.MayHaveRun {
		t.Errorf("answer %+v, want one that may have run, since a run had begun", answer)
	}
}

func TestStepsInOrder(t *testing.T) {
	r := newLeasedHarness(t, 8)
	job := r.repeatableJob("j", time.Second, 50*ms, 50*ms, 50*ms)
	job.Tasks[1].Step, job.Tasks[1].Index = 1, 0
	job.Tasks[2].Step, job.Tasks[2].Index = 2, 0
	job.After = [][]int{nil, {0}, {0, 1}}
	expectStarts(t, "first", startsOf(r.step(caller.Submit{Ticket: 1, Job: job})), "j.0.0/1")
	expectStarts(t, "second", startsOf(r.reportTask("a.1", "j", 0, 1, done, reason.Unspecified)), "j.1.0/1")
	expectStarts(t, "third", startsOf(r.reportTask("a.1", "j", 1, 1, done, reason.Unspecified)), "j.2.0/1")
	if answer := r.answerOf(r.reportTask("a.1", "j", 2, 1, done, reason.Unspecified)); !answer.Complete {
		t.Errorf("answer %+v, want a complete one", answer)
	}
}

// An entry that has just started admits jobs before its first agent has
// announced itself.
func TestJobsWaitForTheFirstAgent(t *testing.T) {
	r := &harness{
		t:     t,
		now:   300 * ms,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: time.Minute}),
	}
	expectStarts(t, "without agents", startsOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})))
	r.step(caller.ViewConfirmed{At: time.Hour})
	expectStarts(t, "with the first agent", startsOf(r.joinAgent("a.1", 8)), "j.0.0/1")
}

// In a burst, jobs that have begun are placed first, then jobs that can still
// be on time, then late ones.
func TestBurstOrder(t *testing.T) {
	r := newLeasedHarness(t, 1)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("begun", 200*ms, 100*ms, 100*ms)})
	r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("late", 110*ms, 100*ms)})
	low := r.repeatableJob("low", 3*time.Second, 100*ms)
	low.Priority = 1
	r.step(caller.Submit{Ticket: 3, Job: low})
	r.step(caller.Submit{Ticket: 4, Job: r.repeatableJob("slack", 3*time.Second, 100*ms)})
	r.step(caller.Submit{Ticket: 5, Job: r.repeatableJob("tight", 1*time.Second, 100*ms)})
	r.now += 50 * ms
	var order []string
	name, task := "begun", uint32(0)
	for range 5 {
		acts := r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
			Stamp: int64(r.now), Load: &wirepb.Load{Slots: 1, Room: 1, Open: true},
			Updates: []*wirepb.Update{{Team: "t", JobId: "~" + name, Generation: 1, Task: task, Attempt: 1, State: done}},
		}})
		starts := startsOf(acts)
		if len(starts) != 1 {
			t.Fatalf("after %v: starts %v, want one", order, starts)
		}
		order = append(order, starts[0])
		var step, index, attempt int
		name, step, index, attempt = parseStart(t, starts[0])
		task = uint32(index)
		_, _ = step, attempt
	}
	want := []string{"begun.0.1/1", "tight.0.0/1", "slack.0.0/1", "low.0.0/1", "late.0.0/1"}
	expectStarts(t, "order", order, want...)
}

// parseStart parses a start in the form of startsOf.
func parseStart(t *testing.T, start string) (name string, step, index, attempt int) {
	t.Helper()
	for i := range start {
		if start[i] == '.' {
			name = start[:i]
			if _, err := fmt.Sscanf(start[i:], ".%d.%d/%d", &step, &index, &attempt); err != nil {
				t.Fatal(err)
			}
			return name, step, index, attempt
		}
	}
	t.Fatalf("start %q, want the form name.step.index/attempt", start)
	return "", 0, 0, 0
}

// In a burst, a job that has not begun is refused as not run once it would end
// after three times the time until it was due.
func TestBurstShedsLateJobs(t *testing.T) {
	r := newLeasedHarness(t, 1)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("long", 10*time.Second, 5*time.Second)})
	r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("short", 200*ms, 100*ms)})
	r.now += 480 * ms
	for _, a := range r.step(caller.Tick{}) {
		if reply, ok := a.(caller.Reply); ok {
			t.Fatalf("answer %+v while the job could still end within three times the time until it was due, want none", reply.Answer)
		}
	}
	r.now += 40 * ms
	if a := r.answerOf(r.step(caller.Tick{})); !a.Refused || a.MayHaveRun || a.Reason != reason.TooLate {
		t.Errorf("answer %+v, want a refusal as not run", a)
	}
}

// After all hosts lost power, callers submit jobs again that they have waited for
// since, beside new ones. The new ones that can still be in time go first.
func TestNewJobsBeforeThoseThatWaitedThroughAnOutage(t *testing.T) {
	r := newLeasedHarness(t, 0)
	again := r.repeatableJob("again", 300*ms, 100*ms)
	again.WaitedBefore = 500 * ms
	again.Due = r.now + 300*ms - again.WaitedBefore
	fresh := r.repeatableJob("fresh", 300*ms, 100*ms)
	r.step(caller.Submit{Ticket: 1, Job: again}, caller.Submit{Ticket: 2, Job: fresh})
	starts := startsOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Load: &wirepb.Load{Slots: 1, Room: 1, Open: true}}}))
	expectStarts(t, "one endpoint becomes free", starts, "fresh.0.0/1")
	r.now += 100 * ms
	starts = startsOf(r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 3, Load: &wirepb.Load{Slots: 2, Room: 1, Yours: 1, Open: true}}}))
	expectStarts(t, "another endpoint becomes free", starts, "again.0.0/1")
}

// The link of an agent that refused connections is opened when it announces
// itself, not when its record is removed 10 s later.
func TestAnnouncementOpensLinkOfKnownAgent(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.LinkDown{Agent: "a.1", Gone: true})
	opened := 0
	for _, a := range r.step(caller.AgentAnnounced{Info: &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Address: "x", Zone: "z", Service: "s", Slots: 8, RunsOverMs: 1300}}) {
		if open, ok := a.(caller.OpenLink); ok && open.Agent == "a.1" {
			opened++
		}
	}
	if opened != 1 {
		t.Errorf("%d links opened after the announcement, want 1", opened)
	}
}

// The report that an earlier attempt failed must not count against the attempt
// that runs now, also for a single request.
func TestStaleFailureOfRepeatableRequest(t *testing.T) {
	r := newLeasedHarness(t, 8)
	request := r.repeatableJob("j", time.Second, 50*ms)
	request.MaxAttempts, request.CallerJobID = 0, ""
	r.step(caller.Submit{Ticket: 1, Job: request})
	expectStarts(t, "after a refusal", startsOf(r.reportTask("a.1", "j", 0, 1, wirepb.TaskState_TASK_STATE_REFUSED, reason.EntrySilent)), ".0.0/2")
	for _, a := range r.reportTask("a.1", "j", 0, 1, failed, reason.EndpointFailed) {
		switch a := a.(type) {
		case caller.Reply:
			t.Errorf("the failure of attempt 1 ended the request with %+v while attempt 2 runs", a.Answer)
		case caller.SendToAgent:
			if len(a.Msg.Starts)+len(a.Msg.Cancels) > 0 {
				t.Errorf("the failure of attempt 1 started or cancelled a task: %v", a.Msg)
			}
		}
	}
}

// An entry that has just started holds jobs for its first agents, within its
// limits.
func TestLimitsHoldDuringTheStart(t *testing.T) {
	const maxOpenJobs = 3
	s := caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: maxOpenJobs, MaxQueuedTasks: 100, AnswerRetention: time.Minute})
	refused := 0
	for i := range 2 * maxOpenJobs {
		id := fmt.Sprint(i)
		for _, a := range s.Step(100*ms, caller.Submit{Ticket: caller.Ticket(i + 1), Job: caller.Job{
			Key: caller.Key{Team: "t", ID: "~" + id}, CallerJobID: id, Service: "s", Repeatable: true, MaxAttempts: 3,
			Due: time.Second, Deadline: 3 * time.Second, Tasks: []caller.Task{{Kind: "k"}},
		}}) {
			if reply, ok := a.(caller.Reply); ok && reply.Answer.Reason == reason.Overloaded {
				refused++
			}
		}
	}
	if refused != maxOpenJobs {
		t.Errorf("%d of %d jobs refused as overloaded, want %d", refused, 2*maxOpenJobs, maxOpenJobs)
	}
}

// Behind a balancer that has no other entry in the zone, callers arrive until the
// end of a planned stop. Jobs that are expected to end in time are run, others are refused,
// and at the end every open job gets an answer.
func TestJobsDuringAPlannedStop(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Stop{EndBy: r.now + 2*time.Second})
	expectStarts(t, "a short job", startsOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("short", time.Second, 200*ms)})), "short.0.0/1")
	answer := r.answerOf(r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("long", 3*time.Second, 900*ms)}))
	if !answer.Refused || answer.MayHaveRun || answer.Reason != reason.Stopping {
		t.Errorf("answer %+v to a long job, want a refusal as not run", answer)
	}
	r.now += 1500 * ms
	if answer := r.answerOf(r.step(caller.Submit{Ticket: 3, Job: r.repeatableJob("later", time.Second, 200*ms)})); !answer.Refused {
		t.Errorf("answer %+v to a short job near the end of the stop, want a refusal", answer)
	}
	if answer := r.answerOf(r.step(caller.AbortJobs{})); answer.Complete || answer.Reason != reason.Stopping || !answer.MayHaveRun {
		t.Errorf("answer %+v to the job that still runs at the end, want a failure that may have run", answer)
	}
}
