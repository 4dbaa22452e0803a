package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/peer"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// joinServer is an entry that answers Join calls with one agent of its own, and
// counts them.
type joinServer struct {
	wirepb.UnimplementedEntryPeerHandler
	incarnation string
	calls       atomic.Int32
}

// Join counts the call and returns an agent whose id contains the entry's
// incarnation.
func (j *joinServer) Join(context.Context, *connect.Request[wirepb.JoinRequest]) (*connect.Response[wirepb.JoinResponse], error) {
	j.calls.Add(1)
	return connect.NewResponse(&wirepb.JoinResponse{
		Incarnation: j.incarnation, Agents: []*wirepb.AgentInfo{{Id: "agent of " + j.incarnation, Incarnation: j.incarnation + ".a"}},
	}), nil
}

func serveJoin(t *testing.T, j *joinServer) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, handler := wirepb.NewEntryPeerHandler(j)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h2c.NewService(ln, handler).Serve(ctx)
	return ln.Addr().String()
}

// An entry that starts calls Join once at every other entry and adds the agents
// that they return, while a seed that refuses connections is retried. The calls
// run concurrently and must not write to the map that the loop which starts them
// reads: an answer that arrives before the last call is started would crash the
// process.
func TestJoinerCallsEachEntryOnce(t *testing.T) {
	t.Parallel()
	const entries = 40
	var others []*joinServer
	var seeds []string
	for i := range entries {
		j := &joinServer{incarnation: string(rune('A'+i/26)) + string(rune('a'+i%26))}
		others = append(others, j)
		seeds = append(seeds, serveJoin(t, j))
	}
	directory := &platform.Directory{
		Self: platform.Peer{Incarnation: "self.1", ID: "self", Address: "127.0.0.1:1"},
		Log:  zap.NewNop(),
		Emit: func(caller.Event) {},
	}
	var agents atomic.Int32
	j := &peer.Joiner{
		Client:   &peer.Client{Directory: directory, HTTP: h2c.NewClient(true, nil), Log: zap.NewNop()},
		AddAgent: func(context.Context, *wirepb.AgentInfo) { agents.Add(1) },
	}
	directory.OnEntriesChanged = j.Wake
	ctx, cancel := context.WithCancel(t.Context())
	serveEnded := make(chan struct{})
	go func() {
		defer close(serveEnded)
		j.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-serveEnded
	}()
	// No process listens at the last address.
	directory.SetSeeds(append(seeds, "127.0.0.1:2"))
	for deadline := time.Now().Add(5 * time.Second); agents.Load() < entries; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d agents added from %d entries after 5 s", agents.Load(), entries)
		}
	}
	// Leaves time for retries of the refusing seed, which must not repeat the
	// calls to the other entries.
	time.Sleep(800 * time.Millisecond)
	for _, o := range others {
		if n := o.calls.Load(); n != 1 {
			t.Errorf("entry %s received %d Join calls, want 1", o.incarnation, n)
		}
	}
}
