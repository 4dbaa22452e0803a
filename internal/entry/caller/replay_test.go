package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// entryStep is one step of an entry's control state.
type entryStep struct {
	now     time.Duration
	event   caller.Event
	actions []caller.Action
}

// agentStep is one step of an agent's control state.
type agentStep struct {
	now     time.Duration
	event   agententry.Event
	actions []agententry.Action
}

// recording holds the steps of all processes of a simulation, by incarnation.
type recording struct {
	entries map[string][]entryStep
	agents  map[string][]agentStep
}

// recordEntryStep records a step. Messages are copied, since the simulation hands
// one message to both sides.
func (r *recording) recordEntryStep(inc string, now time.Duration, ev caller.Event, actions []caller.Action) {
	if r == nil {
		return
	}
	if msg, ok := ev.(caller.AgentMessage); ok {
		msg.Msg = proto.CloneOf(msg.Msg)
		ev = msg
	}
	copies := make([]caller.Action, len(actions))
	for i, act := range actions {
		if send, ok := act.(caller.SendToAgent); ok {
			send.Msg = proto.CloneOf(send.Msg)
			act = send
		}
		copies[i] = act
	}
	r.entries[inc] = append(r.entries[inc], entryStep{now, ev, copies})
}

func (r *recording) recordAgentStep(inc string, now time.Duration, ev agententry.Event, actions []agententry.Action) {
	if r == nil {
		return
	}
	if msg, ok := ev.(agententry.MessageReceived); ok {
		msg.Msg = proto.CloneOf(msg.Msg)
		ev = msg
	}
	copies := make([]agententry.Action, len(actions))
	for i, act := range actions {
		if send, ok := act.(agententry.Send); ok {
			send.Msg = proto.CloneOf(send.Msg)
			act = send
		}
		copies[i] = act
	}
	r.agents[inc] = append(r.agents[inc], agentStep{now, ev, copies})
}

// actionOptions compare actions, which contain messages and documents.
var actionOptions = cmp.Options{protocmp.Transform(), cmpopts.EquateEmpty(), cmp.Comparer(func(a, b document.Document) bool { return a.Version() == b.Version() })}

// TestDecisionsReplayExactly records the events of all processes in schedules of
// failures, and replays them. Every control state must take the same actions in
// the same order.
func TestDecisionsReplayExactly(t *testing.T) {
	for seed := 1; seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := &recording{entries: map[string][]entryStep{}, agents: map[string][]agentStep{}}
			runRecordedSchedule(seed, r)
			for inc, steps := range r.entries {
				s := newSimEntryState(inc)
				for i, step := range steps {
					if diff := cmp.Diff(step.actions, s.Step(step.now, step.event), actionOptions); diff != "" {
						t.Fatalf("entry %s, step %d at %s, event %T: recorded and replayed actions differ:\n%s", inc, i, step.now, step.event, diff)
					}
				}
			}
			for inc, steps := range r.agents {
				s := newSimAgentState(inc, simEntrySilence)
				for i, step := range steps {
					if diff := cmp.Diff(step.actions, s.Step(step.now, step.event), actionOptions); diff != "" {
						t.Fatalf("agent %s, step %d at %s, event %T: recorded and replayed actions differ:\n%s", inc, i, step.now, step.event, diff)
					}
				}
			}
		})
	}
}

// runRecordedSchedule runs a schedule of repeatable jobs and claimed jobs at once.
func runRecordedSchedule(seed int, r *recording) {
	s := schedules.Example(seed)
	sim := newSimulation(uint64(seed), 0, 0)
	sim.leased, sim.recording = true, r
	for i := range simEntries {
		e := &simEntry{index: i}
		sim.entries = append(sim.entries, e)
		sim.startEntry(e)
	}
	for i := range simAgents {
		a := &simAgent{index: i, zone: string(rune('a' + i%3)), speed: 0.5 + sim.rng.Float64()*2}
		sim.agents = append(sim.agents, a)
		sim.startAgent(a)
	}
	for _, d := range s.Disturbances {
		sim.after(time.Duration(d.At)*ms, func() { sim.applyDisturbance(d) })
	}
	for i, sub := range s.Jobs {
		j := newSimJob(i, sub.Tasks)
		for n := range j.job.Tasks {
			j.job.Tasks[n].Index = n
		}
		sim.jobs = append(sim.jobs, j)
		sim.after(time.Duration(sub.At[0])*ms, func() { sim.submitRepeatable(j, sim.entries[sub.Entry[0]], 2) })
	}
	sim.run(scheduleEnd)
}
