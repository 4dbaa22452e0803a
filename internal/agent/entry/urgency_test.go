package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// urgent returns a start of a job of the given priority that is due in the given time
// in ms.
func urgent(id string, priority, dueInMs int32) *wirepb.ToAgent {
	m := startOf(id, 1, 0, 1)
	m.Starts[0].Priority, m.Starts[0].DueInMs = priority, dueInMs
	return m
}

// Guards against a queue, and offers of room, that let urgent starts wait for others or
// starve those, and against a changed order for entries that don't send the fields. A
// start of each of three entries is queued at an endpoint of 3 slots, or refused by one
// of 2, and places become free one by one.
func TestOrderByUrgency(t *testing.T) {
	for _, tt := range []struct {
		name          string
		starts        [3]*wirepb.ToAgent
		age           time.Duration // of the first start when the others arrive
		queue, offers string        // the order of the jobs, and of the links
	}{
		{"priority", [3]*wirepb.ToAgent{urgent("1", 2, 900), urgent("2", 1, 900), urgent("3", 0, 900)}, 0, "321", "321"},
		{"due time", [3]*wirepb.ToAgent{urgent("1", 1, 800), urgent("2", 1, 900), urgent("3", 1, 700)}, 0, "312", "312"},
		{"due time as of now", [3]*wirepb.ToAgent{urgent("1", 1, 800), urgent("2", 1, 750), urgent("3", 1, 650)}, 100 * time.Millisecond, "312", "312"},
		{"overdue", [3]*wirepb.ToAgent{urgent("1", 0, 1), urgent("2", 2, 900), urgent("3", 1, 900)}, 0, "132", "321"},
		{"past the age limit", [3]*wirepb.ToAgent{urgent("1", 2, 5000), urgent("2", 1, 900), urgent("3", 0, 900)}, 300 * time.Millisecond, "132", "132"},
		{"without fields", [3]*wirepb.ToAgent{startOf("1", 1, 0, 1), startOf("2", 1, 0, 1), startOf("3", 1, 0, 1)}, 0, "123", "123"},
	} {
		for _, endpoint := range []struct {
			slots  int
			before uint32
			want   string
		}{{3, 3, tt.queue}, {2, 4, tt.offers}} {
			r := newRig(largeLedger())
			r.step(entry.LinkOpened{Link: 3, Entry: "e.3"}, entry.LinkOpened{Link: 4, Entry: "e.4"},
				entry.EndpointChanged{Endpoint: entry.Endpoint{Slots: endpoint.slots, AcceptsTasks: true}})
			for task := range endpoint.before {
				r.receive(4, startOf("x", 1, task, 1))
			}
			for i, m := range tt.starts {
				if i == 1 {
					r.now += tt.age
				}
				r.receive(uint64(i+1), m)
			}
			got := ""
			for task := range uint32(3) {
				r.now += 40 * time.Millisecond
				var event entry.Event = entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "x", Task: task}}
				if endpoint.slots == 2 && task > 0 {
					event = entry.Tick{} // the previous offer has expired
				}
				for _, a := range r.step(event) {
					switch a := a.(type) {
					case entry.StartTask:
						if endpoint.slots == 3 {
							got += a.Ref.Job
						}
					case entry.Send:
						if endpoint.slots == 2 && a.Link != 4 && a.Msg.Load.Room > 0 {
							got += fmt.Sprint(a.Link)
						}
					}
				}
			}
			if got != endpoint.want {
				t.Errorf("%s, %d slots: order %s, want %s", tt.name, endpoint.slots, got, endpoint.want)
			}
		}
	}
}

// Guards against a reservation that outlives its task, and against one that is not
// reported. The endpoint has 8 cores, of which a task uses 7.
func TestReservationEndsWithItsTask(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 8000})
	verdicts := ""
	for i, cpu := range []uint32{7000, 8000, 1000} {
		m := startOf(fmt.Sprint(i), 1, 0, 1)
		m.Starts[0].Need, m.Starts[0].DeclaredMs = &wirepb.Resources{CpuMilli: cpu}, 20
		for _, a := range r.receive(1, m) {
			if placement, ok := a.(entry.RecordPlacement); ok {
				verdicts += placement.Verdict.String() + " "
			}
		}
	}
	if verdicts != "reserved held " {
		t.Fatalf("recorded %q, want one reservation and one task held for it", verdicts)
	}
	started := startsOf(r.receive(1, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("1", 1), Attempt: 1}}}))
	if len(started) != 1 || started[0].Job != "2" {
		t.Errorf("started %v once the reserved task was cancelled, want the held one", started)
	}
}
