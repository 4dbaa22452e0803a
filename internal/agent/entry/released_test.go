package entry_test

import (
	"fmt"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// A released entry is offered no room, and informed at once. Its tasks run on, and
// a start that was on its way is accepted.
func TestReleasedLink(t *testing.T) {
	r := newRig(largeLedger())
	r.receive(1, startOf("j", 1, 0, 1))
	var sent []entry.Send
	for _, act := range r.step(entry.HomesChanged{Released: []string{"e.1"}}) {
		if send, ok := act.(entry.Send); ok {
			sent = append(sent, send)
		}
	}
	if len(sent) != 1 || sent[0].Link != 1 || !sent[0].Msg.Load.Released || sent[0].Msg.Load.Room != 0 {
		t.Errorf("messages after the release: %v, want one over link 1 that offers no room", sent)
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

// After all hosts lost power, every entry links to the agent at once and has work
// for it. The agent's room is shared among them from the first report on; if each
// were offered all of it, most starts would be refused.
func TestRoomIsSharedAmongNewLinks(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 16000}) // 8 slots and a queue of 32
	offered := uint32(0)
	for link := range uint64(8) {
		for _, act := range r.step(entry.LinkOpened{Link: 10 + link, Entry: fmt.Sprint("new.", link)}) {
			if send, ok := act.(entry.Send); ok && send.Link == 10+link {
				offered = send.Msg.Load.Room
			}
		}
	}
	if offered > 5 {
		t.Errorf("the eighth of eight new entries is offered %d of 40 places, want at most 5", offered)
	}
}
