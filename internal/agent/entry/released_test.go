package entry_test

import (
	"testing"

	"github.com/savorystair/savorystair/internal/agent/entry"
)

// A released entry is offered no room and told so at once. Its tasks run on, and
// a start that was on its way is accepted.
func TestReleasedLink(t *testing.T) {
	r := newRig(largeLedger())
	r.receive(1, startOf("j", 1, 0, 1))
	var told []entry.Send
	for _, act := range r.step(entry.HomesChanged{Released: []string{"e.1"}}) {
		if send, ok := act.(entry.Send); ok {
			told = append(told, send)
		}
	}
	if len(told) != 1 || told[0].Link != 1 || !told[0].Msg.Load.Released || told[0].Msg.Load.Room != 0 {
		t.Errorf("messages after the release: %v, want one over link 1 that offers no room", told)
	}
	if starts := startsOf(r.receive(1, startOf("j", 1, 1, 1))); len(starts) != 1 {
		t.Errorf("%d tasks started by a start that crossed the release, want 1", len(starts))
	}
	for _, act := range r.step(entry.HomesChanged{}) {
		if send, ok := act.(entry.Send); ok && send.Msg.Load.Released {
			t.Error("the link is still released after the entry was selected again")
		}
	}
}
