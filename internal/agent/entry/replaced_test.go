package entry_test

import (
	"slices"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// startAt returns a start that was decided on for an incarnation of the endpoint.
func startAt(id string, endpoint uint64) *wirepb.ToAgent {
	msg := startOf(id, 1, 0, 1)
	msg.Starts[0].Endpoint = endpoint
	return msg
}

// Guards against tasks that start on an endpoint whose labels or resources were not
// considered: a start that was decided on for another incarnation is refused as not run,
// as are those that were queued for it.
func TestStartForReplacedEndpoint(t *testing.T) {
	r := newRig(largeLedger())
	present := entry.Endpoint{Number: 2, Slots: 1, AcceptsTasks: true}
	r.step(entry.EndpointChanged{Endpoint: present})
	for id, stale := range map[string]uint64{"earlier": 1, "later": 3} {
		actions := r.receive(1, startAt(id, stale))
		if got := refusalIn(actions); got != reason.EndpointReplaced {
			t.Errorf("start for incarnation %d: refused as %s, want endpoint_replaced", stale, got)
		}
	}
	if started := startedIn(r.receive(1, startAt("k", 2))); len(started) != 1 || started[0].Endpoint != 2 {
		t.Fatalf("start for the present incarnation: %+v", started)
	}
	r.receive(1, startAt("queued", 2))
	present.Number++
	actions := r.step(entry.EndpointChanged{Endpoint: present})
	if got := refusalIn(actions); got != reason.EndpointReplaced {
		t.Errorf("queued start: refused as %s, want endpoint_replaced", got)
	}
	if started := startedIn(actions); len(started) > 0 {
		t.Errorf("started at the next incarnation: %+v", started)
	}
}

// Guards against tasks that start on an endpoint whose labels were not considered while
// entries of a version that does not number endpoints are in use: they learn of another
// endpoint with a new link only.
func TestStartWithoutNumber(t *testing.T) {
	r := newRig(largeLedger())
	if started := startedIn(r.receive(1, startOf("first", 1, 0, 1))); len(started) != 1 {
		t.Fatalf("%d tasks started before the endpoint was replaced, want 1", len(started))
	}
	r.step(entry.EndpointChanged{Endpoint: entry.Endpoint{Number: 1}})
	r.step(entry.LinkOpened{Link: 3, Entry: "e.3"}) // not described: the endpoint is not ready
	r.step(entry.EndpointChanged{Endpoint: entry.Endpoint{Number: 1, Slots: 2, AcceptsTasks: true}})
	for _, link := range []uint64{1, 3} {
		actions := r.receive(link, startOf("earlier", 1, uint32(link), 1))
		if got := refusalIn(actions); got != reason.EndpointReplaced {
			t.Errorf("link %d from before: refused as %s, want endpoint_replaced", link, got)
		}
		if !slices.Contains(actions, entry.Action(entry.EndLink{Link: link})) {
			t.Errorf("link %d from before is not ended", link)
		}
	}
	r.step(entry.LinkOpened{Link: 4, Entry: "e.1"})
	if started := startedIn(r.receive(4, startOf("present", 1, 0, 1))); len(started) != 1 {
		t.Errorf("%d tasks started over a new link, want 1", len(started))
	}
}

func refusalIn(actions []entry.Action) reason.Reason {
	for _, a := range actions {
		if refusal, ok := a.(entry.RecordRefusal); ok {
			return refusal.Reason
		}
	}
	return reason.Unspecified
}

func startedIn(actions []entry.Action) []entry.StartTask {
	var started []entry.StartTask
	for _, a := range actions {
		if start, ok := a.(entry.StartTask); ok {
			started = append(started, start)
		}
	}
	return started
}
