package host_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/leased"
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
	link := wirepb.NewAgentLinkClient(h2c.NewClient(true, nil), "http://"+a.LinkAddress()).Link(t.Context())
	if err := link.Send(&wirepb.ToAgent{Entry: "e.1"}); err != nil {
		t.Fatal(err)
	}
	var labels []string
	awaitOpen := func(open bool) {
		t.Helper()
		for {
			msg, err := link.Receive()
			if err != nil {
				t.Fatal(err)
			}
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
