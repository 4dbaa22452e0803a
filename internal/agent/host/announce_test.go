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

// announceRecorder is an entry that records when an agent first announced
// itself.
type announceRecorder struct {
	wirepb.UnimplementedEntryPeerHandler
	address string
	entries []string // addresses of other entries

	once    sync.Once
	firstAt chan time.Time         // receives the time of the first announcement
	info    chan *wirepb.AgentInfo // receives the description in it
}

func serveAnnounceRecorder(t *testing.T, entries ...string) *announceRecorder {
	t.Helper()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	h := &announceRecorder{address: ln.Addr().String(), entries: entries, firstAt: make(chan time.Time, 1), info: make(chan *wirepb.AgentInfo, 1)}
	_, handler := wirepb.NewEntryPeerHandler(h)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h2c.NewService(ln, handler).Serve(ctx)
	return h
}

// Announce records the first announcement. Lookups don't count.
func (h *announceRecorder) Announce(_ context.Context, req *connect.Request[wirepb.AnnounceRequest]) (*connect.Response[wirepb.AnnounceResponse], error) {
	if !req.Msg.Lookup {
		h.once.Do(func() {
			h.firstAt <- time.Now()
			h.info <- req.Msg.Agent
		})
	}
	resp := &wirepb.AnnounceResponse{Incarnation: h.address}
	for _, address := range h.entries {
		resp.Entries = append(resp.Entries, &wirepb.EntryAddress{Address: address})
	}
	return connect.NewResponse(resp), nil
}

func (h *announceRecorder) first(t *testing.T) time.Time {
	t.Helper()
	select {
	case at := <-h.firstAt:
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
	e, err := endpoint.Start(endpoint.Options{Address: loopback, AgentAddress: a.EndpointAddress(), Service: "s", Slots: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return a
}

// An entry that accepts connections and never responds must not delay the
// announcements to entries that another entry names. An announcement times out
// after 1 s.
func TestSilentEntryDelaysNoAnnouncement(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	second := serveAnnounceRecorder(t)
	first := serveAnnounceRecorder(t, second.address)
	startAgent(t, agenthost.Options{}, silent.Addr().String(), first.address)
	if later := second.first(t).Sub(first.first(t)); later > 500*time.Millisecond {
		t.Errorf("the second entry received the announcement %s after the first, want at most 500ms", later)
	}
}

// An agent must announce itself as soon as its endpoint is ready for tasks, and
// not only in the next regular round, up to 200 ms later.
func TestAnnouncedOnceTheEndpointIsUp(t *testing.T) {
	t.Parallel()
	shortestDelay := time.Hour
	for range 5 {
		e := leased.New(time.Millisecond, 1)
		t.Cleanup(e.Close)
		var respondedAt time.Time
		controller := &delayedController{Endpoint: e, respondsFrom: time.Now().Add(50 * time.Millisecond), respondedAt: &respondedAt}
		entry := serveAnnounceRecorder(t)
		startAgent(t, agenthost.Options{NewRunController: func(agentendpoint.Announcement) agentendpoint.RunController { return controller }}, entry.address)
		announcedAt := entry.first(t)
		controller.mu.Lock()
		shortestDelay = min(shortestDelay, announcedAt.Sub(respondedAt))
		controller.mu.Unlock()
	}
	if shortestDelay > 75*time.Millisecond {
		t.Errorf("the fastest of 5 agents announced itself %s after its endpoint was ready, want at most 75ms", shortestDelay)
	}
}

// delayedController is a run controller whose endpoint responds to list requests
// only from respondsFrom on.
type delayedController struct {
	*leased.Endpoint
	respondsFrom time.Time

	mu          sync.Mutex
	respondedAt *time.Time // when it first responded
}

// List returns an error until respondsFrom.
func (c *delayedController) List(ctx context.Context, l agentendpoint.ListRequest) (agentendpoint.Listing, error) {
	if time.Now().Before(c.respondsFrom) {
		return agentendpoint.Listing{}, context.DeadlineExceeded
	}
	c.mu.Lock()
	if c.respondedAt.IsZero() {
		*c.respondedAt = time.Now()
	}
	c.mu.Unlock()
	return c.Endpoint.List(ctx, l)
}
