package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// urgentStart returns a start of a job of the given priority that is due in the given
// time in ms.
func urgentStart(id string, priority, dueInMs int32) *wirepb.ToAgent {
	m := startOf(id, 1, 0, 1)
	m.Starts[0].Priority, m.Starts[0].DueInMs = priority, dueInMs
	return m
}

// offersOf returns the links that were offered room by the actions.
func offersOf(actions []entry.Action) []uint64 {
	var links []uint64
	for _, a := range actions {
		if send, ok := a.(entry.Send); ok && send.Msg.Load.Room > 0 {
			links = append(links, send.Link)
		}
	}
	return links
}

// Guards against a queue that starts urgent tasks after others, against one that
// starves others, and against a changed order for entries that don't send the fields.
func TestQueueByUrgency(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second *wirepb.ToAgent
		age           time.Duration // of the first when the second arrives
		want          string
	}{
		{"higher priority", urgentStart("a", 1, 50), urgentStart("b", 0, 500), 0, "b"},
		{"due earlier", urgentStart("a", 1, 500), urgentStart("b", 1, 50), 0, "b"},
		{"due earlier, as of now", urgentStart("a", 1, 150), urgentStart("b", 1, 100), 100 * time.Millisecond, "a"},
		{"past the age limit", urgentStart("a", 2, 5000), urgentStart("b", 0, 50), 300 * time.Millisecond, "a"},
		{"without fields", startOf("a", 1, 0, 1), startOf("b", 1, 0, 1), 0, "a"},
	} {
		r := newRig(largeLedger())
		r.receive(1, startOf("x", 1, 0, 1))
		r.receive(1, startOf("x", 1, 1, 1))
		r.receive(1, tt.first)
		r.now += tt.age
		r.receive(2, tt.second)
		started := startsOf(r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "x"}}))
		if len(started) != 1 || started[0].Job != tt.want {
			t.Errorf("%s: started %v, want %s", tt.name, started, tt.want)
		}
	}
}

// Guards against room that is offered to an entry with less urgent work. The starts
// of three entries are refused in the order of the links, and places become free one
// by one, each after the offer of the previous one has expired.
func TestOffersByUrgency(t *testing.T) {
	for _, tt := range []struct {
		name   string
		starts []*wirepb.ToAgent // of links 1, 2, 3
		want   string
	}{
		{"by priority", []*wirepb.ToAgent{urgentStart("a", 2, 900), urgentStart("b", 1, 900), urgentStart("c", 0, 900)}, "[3 2 1]"},
		{"by due time", []*wirepb.ToAgent{urgentStart("a", 1, 800), urgentStart("b", 1, 900), urgentStart("c", 1, 700)}, "[3 1 2]"},
		{"overdue last", []*wirepb.ToAgent{urgentStart("a", 0, 1), urgentStart("b", 2, 900), urgentStart("c", 1, 900)}, "[3 2 1]"},
		{"in turn without fields", []*wirepb.ToAgent{startOf("a", 1, 0, 1), startOf("b", 1, 0, 1), startOf("c", 1, 0, 1)}, "[1 2 3]"},
	} {
		r := newRig(largeLedger())
		r.step(entry.LinkOpened{Link: 3, Entry: "e.3"})
		for task := range uint32(4) {
			r.receive(1, startOf("x", 1, task, 1))
		}
		for i, m := range tt.starts {
			r.receive(uint64(i+1), m)
		}
		var offers []uint64
		r.now += 10 * time.Millisecond
		offers = append(offers, offersOf(r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "x"}}))...)
		for range 2 {
			r.now += 40 * time.Millisecond
			offers = append(offers, offersOf(r.step(entry.Tick{}))...)
		}
		if fmt.Sprint(offers) != tt.want {
			t.Errorf("%s: offered room to links %v, want %s", tt.name, offers, tt.want)
		}
	}
}

// Guards against entries that starve because another one always has more urgent
// starts.
func TestOfferPastTheAgeLimit(t *testing.T) {
	r := newRig(largeLedger())
	for task := range uint32(4) {
		r.receive(1, startOf("x", 1, task, 1))
	}
	r.receive(1, urgentStart("a", 2, 5000))
	r.now += 300 * time.Millisecond
	r.receive(2, urgentStart("b", 0, 100))
	if got := offersOf(r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "x"}})); fmt.Sprint(got) != "[1]" {
		t.Errorf("offered room to links %v, want the one that waits for 300 ms", got)
	}
}

// Guards against a reservation that outlives its task, and against one that is not
// reported. The endpoint has 8 cores, of which a task uses 7.
func TestReservationEndsWithItsTask(t *testing.T) {
	start := func(id string, cpu uint32) *wirepb.ToAgent {
		m := startOf(id, 1, 0, 1)
		m.Starts[0].Need, m.Starts[0].DeclaredMs = &wirepb.Resources{CpuMilli: cpu}, 20
		return m
	}
	for _, end := range []string{"cancelled", "endpoint replaced"} {
		described := entry.Endpoint{Number: 1, Slots: 8, AcceptsTasks: true, Capacity: resources.Resources{CPUMilli: 8000}}
		r := newResourceRig(described.Capacity)
		r.receive(1, start("x", 7000))
		r.receive(1, start("large", 8000))
		verdicts := map[string]int{}
		for _, a := range r.receive(1, start("small", 1000)) {
			if placement, ok := a.(entry.RecordPlacement); ok {
				verdicts[placement.Verdict.String()]++
			}
		}
		if fmt.Sprint(verdicts) != "map[held:1 reserved:1]" {
			t.Fatalf("recorded %v, want one reservation and one task held for it", verdicts)
		}
		want := "[{t small 0}]"
		var actions []entry.Action
		if end == "cancelled" {
			actions = r.receive(1, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("large", 1), Attempt: 1}}})
		} else {
			r.step(entry.EndpointChanged{Endpoint: described})
			actions, want = r.receive(1, start("next", 1000)), "[{t next 0}]"
		}
		if got := startsOf(actions); fmt.Sprint(got) != want {
			t.Errorf("%s: started %v, want %s", end, got, want)
		}
	}
}
