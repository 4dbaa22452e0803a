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

// joined is an entry that answers joins with an agent of its own.
type joined struct {
	wirepb.UnimplementedEntryPeerHandler
	id    string
	calls atomic.Int32
}

// Join answers at once.
func (j *joined) Join(context.Context, *connect.Request[wirepb.JoinRequest]) (*connect.Response[wirepb.JoinResponse], error) {
	j.calls.Add(1)
	return connect.NewResponse(&wirepb.JoinResponse{
		Incarnation: j.id, Agents: []*wirepb.AgentInfo{{Id: "agent of " + j.id, Incarnation: j.id + ".a"}},
	}), nil
}

func serveJoined(t *testing.T, j *joined) string {
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

// An entry that starts calls every other once, however quickly they answer, and
// takes over what they know; one that is out of reach is called again.
func TestJoinerCallsEachEntryOnce(t *testing.T) {
	t.Parallel()
	const entries = 40
	var others []*joined
	var seeds []string
	for i := range entries {
		j := &joined{id: string(rune('A'+i/26)) + string(rune('a'+i%26))}
		others = append(others, j)
		seeds = append(seeds, serveJoined(t, j))
	}
	directory := &platform.Directory{
		Self: platform.Peer{Incarnation: "self.1", ID: "self", Address: "127.0.0.1:1"},
		Log:  zap.NewNop(),
		Emit: func(caller.Event) {},
	}
	var agents atomic.Int32
	j := &peer.Joiner{
		Client:   &peer.Client{Directory: directory, HTTP: h2c.Client(true, nil), Log: zap.NewNop()},
		Announce: func(context.Context, *wirepb.AgentInfo) { agents.Add(1) },
	}
	directory.Heard = j.Heard
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		j.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-served
	}()
	// Nobody listens at the last one.
	directory.SetSeeds(append(seeds, "127.0.0.1:2"))
	for deadline := time.Now().Add(5 * time.Second); agents.Load() < entries; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d agents of %d entries after 5 s", agents.Load(), entries)
		}
	}
	// Time for calls that should not be made: the one out of reach is called again.
	time.Sleep(800 * time.Millisecond)
	for _, o := range others {
		if n := o.calls.Load(); n != 1 {
			t.Errorf("%s was called %d times", o.id, n)
		}
	}
}
