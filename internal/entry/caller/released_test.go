package caller_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// An agent that selects other entries gets no more tasks of this one. Its link is
// closed after the last task has ended, not before.
func TestReleasedAgent(t *testing.T) {
	s := caller.New(caller.Options{Incarnation: "e.1", MaxOpenJobs: 10, MaxQueuedTasks: 100, AnswerRetention: time.Minute})
	info := &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Address: "a", Zone: "z", Service: "s", Slots: 2, RunsOverMs: 1300}
	report := func(released bool, room uint32, updates ...*wirepb.Update) caller.AgentMessage {
		return caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Updates: updates, Load: &wirepb.Load{Slots: 2, Open: true, Room: room, Released: released}}}
	}
	submit := func(id string) caller.Submit {
		return caller.Submit{Job: caller.Job{
			Key: caller.Key{Team: "t", ID: id}, CallerJobID: id, Service: "s", Repeatable: true, MaxAttempts: 3,
			Deadline: time.Minute, Tasks: []caller.Task{{Kind: "k"}},
		}}
	}
	s.Step(time.Second, caller.ConfigurationLoaded{Document: document.Document{}}, caller.ViewConfirmed{At: time.Second},
		caller.AgentAnnounced{Info: info}, caller.LinkUp{Agent: "a.1", Info: info}, report(false, 2))
	if n := countStarts(s.Step(time.Second, submit("1"))); n != 1 {
		t.Fatalf("%d starts sent to an agent with room, want 1", n)
	}
	if n := countStarts(s.Step(time.Second, report(true, 0), submit("2"))); n != 0 {
		t.Errorf("%d starts sent to an agent that released the entry, want 0", n)
	}
	if closed := closesLink(s.Step(time.Second+10*ms, caller.Tick{})); closed {
		t.Error("the link is closed while a task is there")
	}
	done := &wirepb.Update{Team: "t", JobId: "1", Generation: 1, Task: 0, Attempt: 1, State: wirepb.TaskState_TASK_STATE_DONE}
	s.Step(time.Second+20*ms, report(true, 0, done))
	if closed := closesLink(s.Step(time.Second+30*ms, caller.Tick{})); !closed {
		t.Error("the link is not closed after the last task has ended")
	}
}

func countStarts(actions []caller.Action) int {
	n := 0
	for _, act := range actions {
		if send, ok := act.(caller.SendToAgent); ok {
			n += len(send.Msg.Starts)
		}
	}
	return n
}

func closesLink(actions []caller.Action) bool {
	for _, act := range actions {
		if _, ok := act.(caller.CloseLink); ok {
			return true
		}
	}
	return false
}
