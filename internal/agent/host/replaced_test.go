package host_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/leased"
	"github.com/savorystair/savorystair/internal/task/resources"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// startRegisteredAgent starts an agent whose endpoint announces itself through the
// returned registry.
func startRegisteredAgent(t *testing.T, o agenthost.Options, entries ...string) (*agenthost.Agent, *endpoint.Registry) {
	t.Helper()
	var registry *endpoint.Registry
	o.AnnouncementHandler = func(r *endpoint.Registry) http.Handler {
		registry = r
		return r.Handler()
	}
	if o.NewRunController == nil {
		o.NewRunController = func(endpoint.Announcement) endpoint.RunController {
			e := leased.New(time.Millisecond, 1)
			t.Cleanup(e.Close)
			return e
		}
	}
	a, err := agenthost.Start(process.Agent{ID: "a", Zone: "z", LinkAddress: loopback, EndpointAddress: loopback, Entries: entries}, zap.NewNop(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a, registry
}

// Guards against tasks that start on an endpoint without the label that they require:
// the report that a replaced endpoint is ready must not reach an entry before the
// labels of the new one.
func TestReportOfReplacedEndpointFollowsItsLabels(t *testing.T) {
	t.Parallel()
	a, registry := startRegisteredAgent(t, agenthost.Options{})
	announce := func(id, label string) {
		t.Helper()
		if err := registry.Announce(endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: id, Labels: []string{label}}); err != nil {
			t.Fatal(err)
		}
	}
	announce("i-1", "x")
	link := openLink(t, a)
	var labels []string
	awaitOpen := func(open bool) {
		t.Helper()
		for {
			msg := receive(t, link)
			if msg.Info != nil {
				labels = msg.Info.Labels
			}
			if msg.Load.GetOpen() == open {
				return
			}
		}
	}
	awaitOpen(true)
	for i, label := range []string{"y", "x", "y"} {
		registry.Leave(map[bool]string{true: "i-1", false: "i-2"}[i%2 == 0])
		awaitOpen(false)
		announce(map[bool]string{true: "i-2", false: "i-1"}[i%2 == 0], label)
		awaitOpen(true)
		if !slices.Equal(labels, []string{label}) {
			t.Fatalf("reported as ready with the labels %v, want %s", labels, label)
		}
	}
}

// Guards against tasks that start on an endpoint without the label that they require: an
// endpoint that gives no start time is restarted at its address with other labels, and
// tasks that were placed by the earlier ones must not start there.
func TestChangedLabelsHaveTheirOwnNumber(t *testing.T) {
	t.Parallel()
	a, registry := startRegisteredAgent(t, agenthost.Options{})
	link := openLink(t, a)
	numbers := map[string]uint64{} // by label
	for _, label := range []string{"x", "y"} {
		if err := registry.Announce(endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, Labels: []string{label}}); err != nil {
			t.Fatal(err)
		}
		for numbers[label] == 0 {
			msg := receive(t, link)
			if msg.Info != nil && slices.Equal(msg.Info.Labels, []string{label}) && msg.Load.Endpoint == msg.Info.Endpoint {
				numbers[label] = msg.Info.Endpoint
			}
		}
	}
	if numbers["x"] == numbers["y"] {
		t.Errorf("both labels have the number %d", numbers["x"])
	}
}

// Guards against an agent that is lost to entries of a version that does not number
// endpoints: a start that they send after the endpoint was replaced ends their link.
func TestStartWithoutNumberEndsTheLink(t *testing.T) {
	t.Parallel()
	a, registry := startRegisteredAgent(t, agenthost.Options{})
	link := openLink(t, a)
	for _, id := range []string{"i-1", "i-2"} {
		if err := registry.Announce(endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: id}); err != nil {
			t.Fatal(err)
		}
		for open := false; !open; {
			open = receive(t, link).Load.GetOpen()
		}
		registry.Leave("i-1")
	}
	start := &wirepb.Start{Job: &wirepb.JobRef{Team: "t", JobId: "j", Generation: 1, Owner: "e.1", ClaimSeq: 1}, Attempt: 1}
	if err := link.Send(&wirepb.ToAgent{Agent: a.Incarnation(), Starts: []*wirepb.Start{start}}); err != nil {
		t.Fatal(err)
	}
	for ended := false; !ended; {
		ended = receiveOrEnd(t, link) == nil
	}
}

type agentLink = connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent]

// openLink opens a link of an entry.
func openLink(t *testing.T, a *agenthost.Agent) *agentLink {
	t.Helper()
	link := wirepb.NewAgentLinkClient(h2c.NewClient(true, nil), "http://"+a.LinkAddress()).Link(t.Context())
	if err := link.Send(&wirepb.ToAgent{Entry: "e.1"}); err != nil {
		t.Fatal(err)
	}
	return link
}

// receive returns the next message of a link.
func receive(t *testing.T, link *agentLink) *wirepb.FromAgent {
	t.Helper()
	msg := receiveOrEnd(t, link)
	if msg == nil {
		t.Fatal("the link has ended")
	}
	return msg
}

// receiveOrEnd returns the next message of a link, or nil at its end.
func receiveOrEnd(t *testing.T, link *agentLink) *wirepb.FromAgent {
	t.Helper()
	received := make(chan *wirepb.FromAgent, 1)
	go func() {
		msg, _ := link.Receive() // nil after an error
		received <- msg
	}()
	select {
	case msg := <-received:
		return msg
	case <-time.After(5 * time.Second):
		t.Fatal("no message over the link within 5s")
		return nil
	}
}

// storedAnnouncement is an announcement that an earlier process of the agent stored.
type storedAnnouncement struct{ endpoint.Announcement }

func (s storedAnnouncement) Load(context.Context) (endpoint.Announcement, bool, error) {
	return s.Announcement, true, nil
}

func (storedAnnouncement) Save(context.Context, endpoint.Announcement) error { return nil }

// Guards against tasks that start by the labels or the capacity of an earlier boot of the
// endpoint: after a loss of power, it may be of another kind than the stored announcement
// says.
func TestStoredAnnouncementOfAnEarlierBoot(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name     string
		storedMS int64
		rebooted bool
		want     string // label in the first announcement to an entry
	}{
		{"another boot", 1, true, "y"},
		{"another boot after the clock was set back", 5, true, "y"},
		{"the same boot", 1, false, "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := leased.New(time.Millisecond, 1)
			t.Cleanup(e.Close)
			// The incarnations of the stand-in count from 1.
			stored := endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: "i", StartedMS: tt.storedMS, Labels: []string{"x"}}
			stored.Capacity.CPUMilli = 2000
			present := stored
			present.Labels = []string{tt.want}
			if tt.rebooted {
				e.Crash()
				present.StartedMS = 2
				present.Capacity.CPUMilli = 1000
			}
			entry := serveAnnounceRecorder(t)
			_, registry := startRegisteredAgent(t, agenthost.Options{
				AnnouncementStore: storedAnnouncement{stored},
				NewRunController:  func(endpoint.Announcement) endpoint.RunController { return e },
			}, entry.address)
			// Later than an agent takes to announce what was stored.
			time.AfterFunc(500*time.Millisecond, func() { _ = registry.Announce(present) })
			entry.first(t)
			got := <-entry.info
			if !slices.Equal(got.Labels, present.Labels) || resources.FromWire(got.Capacity) != present.Capacity {
				t.Errorf("announced to an entry with the labels %v and the capacity %v, want %v and %+v", got.Labels, got.Capacity, present.Labels, present.Capacity)
			}
		})
	}
}

// savedAnnouncements records the announcements that an agent stores.
type savedAnnouncements chan endpoint.Announcement

func (savedAnnouncements) Load(context.Context) (endpoint.Announcement, bool, error) {
	return endpoint.Announcement{}, false, nil
}

func (s savedAnnouncements) Save(_ context.Context, a endpoint.Announcement) error {
	s <- a
	return nil
}

// Guards against an agent that goes by outdated resources after its restart, or starts
// tasks on an endpoint that drains: an endpoint can change what it announces without
// being restarted.
func TestStoredAnnouncementFollowsTheEndpoint(t *testing.T) {
	t.Parallel()
	saved := make(savedAnnouncements, 10)
	_, registry := startRegisteredAgent(t, agenthost.Options{AnnouncementStore: saved})
	announced := endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: "i", StartedMS: 1}
	for _, change := range []func(){
		func() { announced.Capacity = resources.Resources{CPUMilli: 2000, MemoryMB: 1} },
		func() { announced.Capacity.CPUMilli = 1000 },
		func() { announced.Draining = true },
	} {
		change()
		announced.Sequence++
		if err := registry.Announce(announced); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-saved:
			if got.Capacity != announced.Capacity || got.Draining != announced.Draining {
				t.Errorf("stored %+v, want %+v", got, announced)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not stored within 5s: %+v", announced)
		}
	}
}
