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

// addAgent announces and links another agent, with incarnation id + ".1".
func (r *harness) addAgent(id string, room uint32) {
	r.t.Helper()
	r.step(
		caller.AgentAnnounced{Info: &wirepb.AgentInfo{
			Id: id, Incarnation: id + ".1", Address: id, Zone: "z", Service: "s", Slots: room,
			Capacity: resources.Resources{CPUMilli: 16000}.Wire(), RunsOverMs: uint32(orphanRunLimit.Milliseconds()),
		}},
		caller.LinkUp{Agent: id + ".1"},
		caller.AgentMessage{Agent: id + ".1", Msg: &wirepb.FromAgent{Stamp: 1, Load: &wirepb.Load{Slots: room, Room: room, Open: true}}},
	)
}

// placedStart is a start and the agent incarnation that it was sent to.
type placedStart struct {
	agent string
	*wirepb.Start
}

// placedStarts returns the starts among actions, in order.
func placedStarts(actions []caller.Action) []placedStart {
	var all []placedStart
	for _, a := range actions {
		if send, ok := a.(caller.SendToAgent); ok {
			for _, s := range send.Msg.Starts {
				all = append(all, placedStart{send.Agent, s})
			}
		}
	}
	return all
}

// nextCrash counts a crash of the endpoint of an agent during the run of a task.
func (r *harness) nextCrash(s placedStart) uint32 {
	if r.crashes == nil {
		r.crashes = map[string]uint32{}
	}
	key := fmt.Sprint(s.agent, s.Name, s.Task)
	r.crashes[key]++
	return r.crashes[key]
}

// reportCrash delivers the report of an agent that its endpoint crashed during
// the runs of the given starts.
func (r *harness) reportCrash(starts ...placedStart) []caller.Action {
	var updates []*wirepb.Update
	for _, s := range starts {
		crashes := r.nextCrash(s)
		updates = append(updates, &wirepb.Update{
			Team: s.Job.Team, JobId: s.Name, Task: s.Task, Attempt: crashes, State: failed, Reason: uint32(reason.EndpointCrashed),
		}, &wirepb.Update{
			Team: s.Job.Team, JobId: s.Job.JobId, Generation: s.Job.Generation, Task: s.Task, Attempt: s.Attempt,
			State: failed, Reason: uint32(reason.EndpointCrashed),
		})
	}
	return r.step(caller.AgentMessage{Agent: starts[0].agent, Msg: &wirepb.FromAgent{
		Stamp: int64(r.now), Load: &wirepb.Load{Slots: 8, Room: 8, Open: true}, Updates: updates,
	}})
}

// A task that crashes every endpoint that starts it must be given up. Retries
// limited by the caller's patience only would take down one endpoint after another.
func TestTaskThatCrashesEndpointsIsGivenUp(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.addAgent("b", 8)
	r.addAgent("c", 8)
	job := r.repeatableJob("j", time.Second, 50*ms)
	actions := r.step(caller.Submit{Ticket: 1, Job: job})
	for crashes := range 3 {
		starts := placedStarts(actions)
		if len(starts) != 1 {
			t.Fatalf("after %d crashes: %d starts, want 1", crashes, len(starts))
		}
		actions = r.reportCrash(starts[0])
	}
	if starts := placedStarts(actions); len(starts) > 0 {
		t.Fatalf("started again at %s after three crashes, want no start", starts[0].agent)
	}
	if answer := r.answerOf(actions); answer.Complete || answer.Reason != reason.EndpointCrashed || !answer.MayHaveRun {
		t.Errorf("answer %+v, want a failure by EndpointCrashed that may have run", answer)
	}
}

// Several deadly tasks of one job, and tasks beside them, must not add up: a task
// beside others that crash the endpoint is placed where no other suspect runs.
func TestSuspectsRunApart(t *testing.T) {
	r := newLeasedHarness(t, 8)
	job := r.repeatableJob("j", time.Second, 50*ms, 50*ms)
	starts := placedStarts(r.step(caller.Submit{Ticket: 1, Job: job}))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	r.addAgent("b", 8)
	again := placedStarts(r.reportCrash(starts...))
	if len(again) != 2 || again[0].agent == again[1].agent {
		t.Errorf("two suspects started as %v, want one at each of two agents", again)
	}
}

// While there is little room, tasks during whose runs an endpoint crashed wait for
// those that have not run, and two of them never run at one endpoint.
func TestSuspectsAreStartedLast(t *testing.T) {
	r := newLeasedHarness(t, 2)
	starts := placedStarts(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms, 50*ms)}))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	full := caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 2, Load: &wirepb.Load{Slots: 2, Yours: 2}}}
	r.step(full, caller.Submit{Ticket: 2, Job: r.repeatableJob("k", time.Second, 50*ms)})
	actions := r.reportCrash(starts...)
	expectStarts(t, "after the crash", startsOf(actions), "k.0.0/1", "j.0.0/2")
	expectStarts(t, "after the end of the suspect", startsOf(r.reportTask("a.1", "j", 0, 2, done, reason.Unspecified)), "j.0.1/2")
}

// A caller submits a job again, at another entry, after three endpoints crashed
// during runs of a task that the first entry had placed.
func TestCrashesCountAcrossSubmissions(t *testing.T) {
	r := newLeasedHarness(t, 8)
	notice := &wirepb.Update{Team: "t", JobId: "j", Attempt: 3, State: failed, Reason: uint32(reason.EndpointCrashed)}
	for range 2 {
		r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: int64(r.now), Updates: []*wirepb.Update{notice}}})
	}
	actions := r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	if starts := placedStarts(actions); len(starts) > 0 {
		t.Fatalf("started at %s after three crashes, want no start", starts[0].agent)
	}
	if answer := r.answerOf(actions); answer.Reason != reason.EndpointCrashed {
		t.Errorf("answer %+v, want a failure by EndpointCrashed", answer)
	}
	expectStarts(t, "another job", startsOf(r.step(caller.Submit{Ticket: 2, Job: r.repeatableJob("k", time.Second, 50*ms)})), "k.0.0/1")
}

// Guards against a job that fails although its tasks can be done: the notice of three
// crashes arrives late, after the task has ended well in this submission.
func TestLateCrashNoticeOfADoneTask(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.addAgent("b", 8)
	starts := placedStarts(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms, 50*ms)}))
	if len(starts) != 2 {
		t.Fatalf("%d starts, want two", len(starts))
	}
	first := starts[0]
	load := &wirepb.Load{Slots: 8, Room: 8, Open: true}
	r.step(caller.AgentMessage{Agent: first.agent, Msg: &wirepb.FromAgent{Stamp: int64(r.now), Load: load, Updates: []*wirepb.Update{{
		Team: first.Job.Team, JobId: first.Job.JobId, Generation: first.Job.Generation, Task: first.Task, Attempt: first.Attempt, State: done,
	}}}})
	actions := r.step(caller.AgentMessage{Agent: "b.1", Msg: &wirepb.FromAgent{Stamp: int64(r.now), Load: load, Updates: []*wirepb.Update{{
		Team: "t", JobId: "j", Task: first.Task, Attempt: 3, State: failed, Reason: uint32(reason.EndpointCrashed),
	}}}})
	for _, a := range actions {
		if reply, ok := a.(caller.Reply); ok {
			t.Errorf("answer %+v, though the task is done", reply.Answer)
		}
	}
}
