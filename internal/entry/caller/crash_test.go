package caller_test

import (
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

// reportCrash delivers the report of an agent that its endpoint crashed during
// the runs of the given starts.
func (r *harness) reportCrash(starts ...placedStart) []caller.Action {
	var updates []*wirepb.Update
	for _, s := range starts {
		updates = append(updates, &wirepb.Update{
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
	for crashes := range 2 {
		starts := placedStarts(actions)
		if len(starts) != 1 {
			t.Fatalf("after %d crashes: %d starts, want 1", crashes, len(starts))
		}
		actions = r.reportCrash(starts[0])
	}
	if starts := placedStarts(actions); len(starts) > 0 {
		t.Fatalf("started again at %s after two crashes, want no start", starts[0].agent)
	}
	if answer := r.answerOf(actions); answer.Complete || answer.Reason != reason.EndpointCrashed || !answer.MayHaveRun {
		t.Errorf("answer %+v, want a failure by EndpointCrashed that may have run", answer)
	}
}
