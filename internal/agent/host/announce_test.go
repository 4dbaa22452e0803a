package host_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	agentendpoint "github.com/savorystair/savorystair/internal/agent/endpoint"
	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/standin/leased"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// heardOf is an entry that notes when an agent first announced itself.
type heardOf struct {
	wirepb.UnimplementedEntryPeerHandler
	address string
	names   []string // addresses of other entries

	once sync.Once
	at   chan time.Time
}

func serveHeardOf(t *testing.T, names ...string) *heardOf {
	t.Helper()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	h := &heardOf{address: ln.Addr().String(), names: names, at: make(chan time.Time, 1)}
	_, handler := wirepb.NewEntryPeerHandler(h)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h2c.NewService(ln, handler).Serve(ctx)
	return h
}

// Announce notes the first announcement.
func (h *heardOf) Announce(context.Context, *connect.Request[wirepb.AnnounceRequest]) (*connect.Response[wirepb.AnnounceResponse], error) {
	h.once.Do(func() { h.at <- time.Now() })
	return connect.NewResponse(&wirepb.AnnounceResponse{Entries: h.names, Incarnation: h.address}), nil
}

func (h *heardOf) first(t *testing.T) time.Time {
	t.Helper()
	select {
	case at := <-h.at:
		return at
	case <-time.After(10 * time.Second):
		t.Fatal("no announcement after 10 s")
		return time.Time{}
	}
}

func startAgent(t *testing.T, o agenthost.Options, entries ...string) *agenthost.Agent {
	t.Helper()
	a, err := agenthost.Start(process.Agent{
		ID: "a", Zone: "z", LinkAddress: loopback, EndpointAddress: loopback, Entries: entries,
	}, zap.NewNop(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	e, err := endpoint.Run(endpoint.Options{Address: loopback, Agent: a.EndpointAddress(), Service: "s", Slots: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return a
}

// An entry that takes connections and never answers holds up no announcement to
// entries that others name. An announcement waits 1 s for its answer.
func TestSilentEntryHoldsUpNoAnnouncement(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	second := serveHeardOf(t)
	first := serveHeardOf(t, second.address)
	startAgent(t, agenthost.Options{}, silent.Addr().String(), first.address)
	if later := second.first(t).Sub(first.first(t)); later > 500*time.Millisecond {
		t.Errorf("the second entry heard of the agent %s after the first, want at most 500ms", later)
	}
}

// An agent announces itself as soon as its endpoint takes tasks, and not at the
// next of its rounds, which are 200 ms apart.
func TestAnnouncedOnceTheEndpointIsUp(t *testing.T) {
	t.Parallel()
	soonest := time.Hour
	for range 5 {
		e := leased.New(time.Millisecond, 1)
		t.Cleanup(e.Close)
		var up time.Time
		orders := &slowStart{Endpoint: e, until: time.Now().Add(50 * time.Millisecond), up: &up}
		entry := serveHeardOf(t)
		startAgent(t, agenthost.Options{Orders: func(agentendpoint.Announcement) agentendpoint.Orders { return orders }}, entry.address)
		heard := entry.first(t)
		orders.mu.Lock()
		soonest = min(soonest, heard.Sub(up))
		orders.mu.Unlock()
	}
	if soonest > 75*time.Millisecond {
		t.Errorf("the soonest of 5 agents was heard of %s after its endpoint was up, want at most 75ms", soonest)
	}
}

// slowStart is an endpoint that answers its agent only after a while.
type slowStart struct {
	*leased.Endpoint
	until time.Time

	mu sync.Mutex
	up *time.Time // when it first answered
}

// List refuses the listing until the endpoint is up.
func (s *slowStart) List(ctx context.Context, l agentendpoint.ListOrder) (agentendpoint.Listing, error) {
	if time.Now().Before(s.until) {
		return agentendpoint.Listing{}, context.DeadlineExceeded
	}
	s.mu.Lock()
	if s.up.IsZero() {
		*s.up = time.Now()
	}
	s.mu.Unlock()
	return s.Endpoint.List(ctx, l)
}
