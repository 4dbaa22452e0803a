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

// runsOver is how long after it was heard of the agent of these tests may still
// run tasks.
const runsOver = 1300 * ms

// leasedRig drives a State with the agent "a.1" of id "a", which takes room
// starts at once.
func leasedRig(t *testing.T, room uint32) *rig {
	t.Helper()
	r := &rig{
		t:     t,
		now:   10 * time.Second,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: time.Minute}),
	}
	r.step(caller.ViewConfirmed{At: r.now + time.Hour})
	r.join("a.1", room)
	return r
}

// join brings an incarnation of the agent.
func (r *rig) join(incarnation string, room uint32) []caller.Action {
	return r.step(
		caller.Announced{Info: &wirepb.AgentInfo{
			Id: "a", Incarnation: incarnation, Address: "x", Zone: "z", Service: "s", Slots: room,
			Capacity: resources.Resources{CPUMilli: 16000}.Wire(), RunsOverMs: uint32(runsOver.Milliseconds()),
		}},
		caller.LinkUp{Agent: incarnation},
		caller.AgentSaid{Agent: incarnation, Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: room, Room: room, Open: true}}},
	)
}

// repeatableJob returns a job that is due in a time, with a task for each run
// time.
func (r *rig) repeatableJob(name string, due time.Duration, runs ...time.Duration) caller.Job {
	j := caller.Job{
		Key: caller.Key{Team: "t", ID: "~" + name}, Name: name, Service: "s", Digest: digest(name),
		Repeatable: true, Attempts: 3, Due: r.now + due, Deadline: r.now + time.Minute,
	}
	for i, run := range runs {
		j.Tasks = append(j.Tasks, caller.Task{Kind: "k", Index: i, Declared: run, Need: resources.Resources{CPUMilli: 1000}})
	}
	return j
}

// startsOf returns the names and places of the starts among actions.
func startsOf(actions []caller.Action) []string {
	var all []string
	for _, a := range actions {
		if send, ok := a.(caller.SendAgent); ok {
			for _, s := range send.Msg.Starts {
				all = append(all, fmt.Sprintf("%s.%d.%d/%d", s.Name, s.Step, s.Index, s.Attempt))
			}
		}
	}
	return all
}

func (r *rig) said(incarnation, name string, task, attempt uint32, state wirepb.TaskState, why reason.Reason) []caller.Action {
	return r.step(caller.AgentSaid{Agent: incarnation, Msg: &wirepb.FromAgent{
		Stamp: int64(r.now), Load: &wirepb.Load{Slots: 8, Room: 8, Open: true},
		Updates: []*wirepb.Update{{Team: "t", JobId: "~" + name, Generation: 1, Task: task, Attempt: attempt, State: state, Reason: uint32(why)}},
	}})
}

func expect(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: starts %v, want %v", what, got, want)
	}
}

const (
	done   = wirepb.TaskState_TASK_STATE_DONE
	failed = wirepb.TaskState_TASK_STATE_FAILED
)

// Only failures of the run itself count as attempts.
func TestRepeatableAttempts(t *testing.T) {
	r := leasedRig(t, 8)
	expect(t, "first", startsOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})), "j.0.0/1")
	expect(t, "after a lapse", startsOf(r.said("a.1", "j", 0, 1, failed, reason.LeaseLapsed)), "j.0.0/2")
	expect(t, "after a failure", startsOf(r.said("a.1", "j", 0, 2, failed, reason.EndpointFailed)), "j.0.0/3")
	expect(t, "after the same failure again", startsOf(r.said("a.1", "j", 0, 2, failed, reason.EndpointFailed)))
	expect(t, "after a second failure", startsOf(r.said("a.1", "j", 0, 3, failed, reason.EndpointFailed)), "j.0.0/4")
	answer := r.reply(r.said("a.1", "j", 0, 4, failed, reason.EndpointFailed))
	if answer.Complete || answer.Reason != reason.EndpointFailed || !answer.MayHaveRun {
		t.Errorf("answer %+v after three failures", answer)
	}
}

// A task of an agent that is out of reach is placed again once its run has
// surely ended, and not before.
func TestRepeatableWaitsUntilRunsAreOver(t *testing.T) {
	r := leasedRig(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.step(caller.LinkDown{Agent: "a.1", Gone: true})
	heard := r.now
	r.step(
		caller.Announced{Info: &wirepb.AgentInfo{Id: "b", Incarnation: "b.1", Address: "y", Zone: "z", Service: "s", Slots: 8, RunsOverMs: 1300}},
		caller.LinkUp{Agent: "b.1"},
		caller.AgentSaid{Agent: "b.1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}}},
	)
	r.now = heard + runsOver - 10*ms
	expect(t, "before the runs are over", startsOf(r.step(caller.Tick{})))
	r.now = heard + runsOver + 10*ms
	expect(t, "after it", startsOf(r.step(caller.Tick{})), "j.0.0/2")
}

// A new incarnation has stopped what the one before left, so that its tasks can
// be placed at once.
func TestRepeatableAfterRestartOfTheAgent(t *testing.T) {
	r := leasedRig(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.step(caller.LinkDown{Agent: "a.1", Gone: true})
	expect(t, "at the new incarnation", startsOf(r.join("a.2", 8)), "j.0.0/2")
}

// The runs of a caller that has left are stopped.
func TestRepeatableCallerLeaves(t *testing.T) {
	r := leasedRig(t, 8)
	job := r.repeatableJob("j", time.Second, 50*ms, 50*ms)
	r.step(caller.Submit{Ticket: 1, Job: job})
	cancels := 0
	for _, a := range r.step(caller.Leave{Ticket: 1, Key: job.Key}) {
		if send, ok := a.(caller.SendAgent); ok {
			cancels += len(send.Msg.Cancels)
		}
	}
	if cancels != 2 {
		t.Errorf("%d cancels after the caller left, want 2", cancels)
	}
}

// The same id submitted again while the job is open gets the same answer.
func TestRepeatableSubmittedAgainHere(t *testing.T) {
	r := leasedRig(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	again := r.repeatableJob("j", time.Second, 50*ms)
	again.ID = "~other"
	expect(t, "again", startsOf(r.step(caller.Submit{Ticket: 2, Job: again})))
	replies := 0
	for _, a := range r.said("a.1", "j", 0, 1, done, reason.Unspecified) {
		if reply, ok := a.(caller.Reply); ok && reply.Answer.Complete {
			replies++
		}
	}
	if replies != 2 {
		t.Errorf("%d answers, want one for each submission", replies)
	}
}

// A refusal after a run has begun does not say that nothing ran.
func TestRepeatableDeadlineAfterARun(t *testing.T) {
	r := leasedRig(t, 8)
	job := r.repeatableJob("j", 100*ms, 50*ms)
	job.Deadline = r.now + 200*ms
	r.step(caller.Submit{Ticket: 1, Job: job})
	r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Load: &wirepb.Load{}}})
	r.said("a.1", "j", 0, 1, failed, reason.LeaseLapsed)
	r.now += time.Second
	if answer := r.reply(r.step(caller.Tick{})); !answer.MayHaveRun {
		t.Errorf("answer %+v, although a run had begun", answer)
	}
}

func TestStepsInOrder(t *testing.T) {
	r := leasedRig(t, 8)
	job := r.repeatableJob("j", time.Second, 50*ms, 50*ms, 50*ms)
	job.Tasks[1].Step, job.Tasks[1].Index = 1, 0
	job.Tasks[2].Step, job.Tasks[2].Index = 2, 0
	job.After = [][]int{nil, {0}, {0, 1}}
	expect(t, "first", startsOf(r.step(caller.Submit{Ticket: 1, Job: job})), "j.0.0/1")
	expect(t, "second", startsOf(r.said("a.1", "j", 0, 1, done, reason.Unspecified)), "j.1.0/1")
	expect(t, "third", startsOf(r.said("a.1", "j", 1, 1, done, reason.Unspecified)), "j.2.0/1")
	if answer := r.reply(r.said("a.1", "j", 2, 1, done, reason.Unspecified)); !answer.Complete {
		t.Errorf("answer %+v", answer)
	}
}

// An entry that has just started keeps jobs until its first agent is there.
func TestJobsWaitForTheFirstAgent(t *testing.T) {
	r := &rig{
		t:     t,
		now:   300 * ms,
		state: caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: time.Minute}),
	}
	expect(t, "without agents", startsOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})))
	r.step(caller.ViewConfirmed{At: time.Hour})
	expect(t, "with the first", startsOf(r.join("a.1", 8)), "j.0.0/1")
}

// Burst: what can still be on time goes before what can't, and what has begun
// before both.
func TestBurstOrder(t *testing.T) {
	r := leasedRig(t, 1)
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
		acts := r.step(caller.AgentSaid{Agent: "a.1", Msg: &wirepb.FromAgent{
			Stamp: int64(r.now), Load: &wirepb.Load{Slots: 1, Room: 1, Open: true},
			Updates: []*wirepb.Update{{Team: "t", JobId: "~" + name, Generation: 1, Task: task, Attempt: 1, State: done}},
		}})
		starts := startsOf(acts)
		if len(starts) != 1 {
			t.Fatalf("after %v: starts %v, want one", order, starts)
		}
		order = append(order, starts[0])
		var step, index, attempt int
		name, step, index, attempt = parse(t, starts[0])
		task = uint32(index)
		_, _ = step, attempt
	}
	want := []string{"begun.0.1/1", "tight.0.0/1", "slack.0.0/1", "low.0.0/1", "late.0.0/1"}
	expect(t, "order", order, want...)
}

func parse(t *testing.T, start string) (name string, step, index, attempt int) {
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
	t.Fatalf("start %q", start)
	return "", 0, 0, 0
}

// Burst: a job that has not begun is refused as not run once it would end after
// three times its time.
func TestBurstShedsHopelessJobs(t *testing.T) {
	r := leasedRig(t, 1)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("long", 10*time.Second, 5*time.Second)})
	r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("short", 200*ms, 100*ms)})
	r.now += 480 * ms
	for _, a := range r.step(caller.Tick{}) {
		if reply, ok := a.(caller.Reply); ok {
			t.Fatalf("answer %+v while the job could still end within three times its time", reply.Answer)
		}
	}
	r.now += 40 * ms
	if a := r.reply(r.step(caller.Tick{})); !a.Refused || a.MayHaveRun || a.Reason != reason.TooLate {
		t.Errorf("answer %+v, want a refusal as not run", a)
	}
}
