package entry_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// crashNotices returns the crash counts that were reported over a link, by the
// caller's id of the job.
func crashNotices(actions []entry.Action, link uint64) map[string]uint32 {
	notices := map[string]uint32{}
	for _, a := range actions {
		send, ok := a.(entry.Send)
		if !ok || send.Link != link {
			continue
		}
		for _, u := range send.Msg.Updates {
			if u.Generation == 0 && reason.Reason(u.Reason) == reason.EndpointCrashed {
				notices[u.JobId] = u.Attempt
			}
		}
	}
	return notices
}

// The caller of a job whose entry is lost submits it again elsewhere. All entries
// must know during the runs of which tasks the endpoint crashed, also one that
// starts later.
func TestCrashesAreReportedToAllEntries(t *testing.T) {
	r := newRig(largeLedger())
	var actions []entry.Action
	for attempt := uint32(1); attempt <= 2; attempt++ {
		msg := startOf("~1", 1, 0, attempt)
		msg.Starts[0].Name = "j"
		msg.Starts[0].Repeatable = true
		if starts := startsOf(r.receive(1, msg)); len(starts) != 1 {
			t.Fatalf("attempt %d: starts %v, want one", attempt, starts)
		}
		actions = r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "~1", Task: 0}, Reason: reason.EndpointCrashed})
	}
	for _, link := range []uint64{1, 2} {
		if got := crashNotices(actions, link)["j"]; got != 2 {
			t.Errorf("link %d: %d crashes reported, want 2", link, got)
		}
	}
	if got := crashNotices(r.step(entry.LinkOpened{Link: 3, Entry: "e.3"}), 3)["j"]; got != 2 {
		t.Errorf("new link: %d crashes reported, want 2", got)
	}
	r.now += 2 * time.Minute
	if got := crashNotices(r.step(entry.LinkOpened{Link: 4, Entry: "e.4"}), 4); len(got) > 0 {
		t.Errorf("link after two minutes: %v reported, want nothing", got)
	}
}
