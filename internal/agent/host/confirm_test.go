package host_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/leased"
)

const (
	endpointAddress = "127.0.0.1:1"
	emptyAddress    = "127.0.0.1:9" // at which nothing listens
)

// addressedController sends requests to the endpoint only if they name its address and
// its id, as the platform does.
type addressedController struct {
	*leased.Endpoint
	announced endpoint.Announcement
}

// List lists the runs if the announcement names the endpoint.
func (c addressedController) List(ctx context.Context, l endpoint.ListRequest) (endpoint.Listing, error) {
	switch {
	case c.announced.Address == emptyAddress:
		return endpoint.Listing{}, context.DeadlineExceeded
	case c.announced.ID != "i":
		return endpoint.Listing{}, &endpoint.RejectedError{Rejection: endpoint.RejectedIncarnation}
	}
	return c.Endpoint.List(ctx, l)
}

// startConfirmingAgent starts an agent whose endpoint has the id i, the incarnation 1 and
// endpointAddress.
func startConfirmingAgent(t *testing.T, log *zap.Logger) (*agenthost.Agent, *endpoint.Registry, *leased.Endpoint) {
	t.Helper()
	var registry *endpoint.Registry
	var o agenthost.Options
	o.AnnouncementHandler = func(r *endpoint.Registry) http.Handler {
		registry = r
		return r.Handler()
	}
	e := leased.New(time.Millisecond, 1)
	t.Cleanup(e.Close)
	o.NewRunController = func(a endpoint.Announcement) endpoint.RunController { return addressedController{e, a} }
	a, err := agenthost.Start(process.Agent{ID: "a", Zone: "z", LinkAddress: loopback, EndpointAddress: loopback, HeartbeatMS: 100}, log, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a, registry, e
}

// endpointAnnouncement returns an announcement of the endpoint of startConfirmingAgent.
func endpointAnnouncement() endpoint.Announcement {
	return endpoint.Announcement{Service: "s", Address: endpointAddress, Slots: 1, ID: "i", StartedMS: 1}
}

// announcementsOfOthers are announcements that name no endpoint of the agent, by name.
func announcementsOfOthers() map[string]endpoint.Announcement {
	all := map[string]endpoint.Announcement{}
	for name, change := range map[string]func(*endpoint.Announcement){
		"nothing listens at its address":     func(a *endpoint.Announcement) { a.Address, a.ID = emptyAddress, "other" },
		"nothing listens, the endpoint's id": func(a *endpoint.Announcement) { a.Address = emptyAddress },
		"another id":                         func(a *endpoint.Announcement) { a.ID = "other" },
		"a start time in the future":         func(*endpoint.Announcement) {},
	} {
		a := endpointAnnouncement()
		a.Service, a.StartedMS = "other", 1_000_000
		change(&a)
		all[name] = a
	}
	return all
}

// Guards against an endpoint that gets no tasks while another writer announces one that
// doesn't exist: an announcement took the place of the endpoint's own by a later start
// time.
func TestUnconfirmedAnnouncementReplacesNoEndpoint(t *testing.T) {
	t.Parallel()
	for name, other := range announcementsOfOthers() {
		for _, first := range []string{"endpoint", "other"} {
			t.Run(name+", first the "+first, func(t *testing.T) {
				t.Parallel()
				testUnconfirmedAnnouncement(t, other, first == "other")
			})
		}
	}
}

// testUnconfirmedAnnouncement lets an endpoint and another writer repeat their
// announcements, and checks that the endpoint is in use all the while.
func testUnconfirmedAnnouncement(t *testing.T, other endpoint.Announcement, otherFirst bool) {
	a, registry, _ := startConfirmingAgent(t, zap.NewNop())
	var writers sync.WaitGroup
	stop := make(chan struct{})
	defer writers.Wait()
	defer close(stop)
	repeat := func(announced endpoint.Announcement) {
		writers.Go(func() {
			for {
				announced.Sequence++
				if err := registry.Announce(announced); err != nil {
					t.Error(err)
				}
				select {
				case <-time.After(100 * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	order := []endpoint.Announcement{endpointAnnouncement(), other}
	if otherFirst {
		order[0], order[1] = order[1], order[0]
	}
	for _, announced := range order {
		repeat(announced)
	}
	link := openLink(t, a)
	awaitOpen(t, link)
	// Longer than an announcement is valid.
	for until := time.Now().Add(600 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if err := link.Send(&wirepb.ToAgent{Ping: true}); err != nil {
			t.Fatal(err)
		}
		msg := receive(t, link)
		if !msg.Load.GetOpen() || msg.Info != nil && msg.Info.Service != "s" {
			t.Fatalf("load %v, description %v, want the endpoint to stay in use", msg.Load, msg.Info)
		}
	}
}

// An endpoint that is announced while another one is in use takes its place once a
// listing has shown it, also if its start time is earlier.
func TestNextIncarnationTakesThePlaceOnceListed(t *testing.T) {
	t.Parallel()
	a, registry, e := startConfirmingAgent(t, zap.NewNop())
	announced := endpointAnnouncement()
	announced.Labels = []string{"x"}
	if err := registry.Announce(announced); err != nil {
		t.Fatal(err)
	}
	link := openLink(t, a)
	awaitOpen(t, link)
	e.Crash()
	announced.StartedMS, announced.Labels = 2, []string{"y"}
	if err := registry.Announce(announced); err != nil {
		t.Fatal(err)
	}
	for {
		if msg := receive(t, link); msg.Info != nil && msg.Info.Labels[0] == "y" && msg.Load.GetOpen() {
			return
		}
	}
}

// An announcement that isn't taken is logged once for each writer, with what decided.
func TestIgnoredAnnouncementIsLoggedOnce(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.InfoLevel)
	_, registry, _ := startConfirmingAgent(t, zap.New(core))
	for _, announced := range []endpoint.Announcement{endpointAnnouncement(), announcementsOfOthers()["another id"]} {
		for range 3 {
			announced.Sequence++
			if err := registry.Announce(announced); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	found := logs.FilterMessage("endpoint announcement ignored").All()
	if len(found) != 1 {
		t.Fatalf("%d log lines %v, want 1", len(found), found)
	}
	fields := found[0].ContextMap()
	if fields["endpoint_id"] != "other" || fields["current_id"] != "i" || fields["cause"] != "incarnation" {
		t.Errorf("fields %v", fields)
	}
}

// awaitOpen receives messages until one reports that the agent accepts starts.
func awaitOpen(t *testing.T, link *agentLink) {
	t.Helper()
	for open := false; !open; {
		open = receive(t, link).Load.GetOpen()
	}
}
