package agent_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// quietAgent answers the first message of a link and then says nothing.
type quietAgent struct{ opened chan bool }

func (q quietAgent) Link(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	q.opened <- first.Entry != ""
	if err := stream.Send(&wirepb.FromAgent{Agent: "agent.1"}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// linkEvents records what a Listener is told.
type linkEvents struct {
	up   chan bool
	down chan bool
}

func (l linkEvents) LinkUp(string, *wirepb.AgentInfo) { l.up <- true }
func (l linkEvents) LinkDown(_ string, gone bool)     { l.down <- gone }
func (l linkEvents) Said(string, *wirepb.FromAgent)   {}
func newLinkEvents() linkEvents                       { return linkEvents{make(chan bool, 9), make(chan bool, 9)} }

func newQuietAgent() quietAgent { return quietAgent{opened: make(chan bool, 9)} }

func serveAgent(t *testing.T, q quietAgent) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewAgentLinkHandler(q))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go h2c.NewService(ln, mux).Serve(t.Context())
	return ln.Addr().String()
}

func within(t *testing.T, what string, ch <-chan bool) bool {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(3 * time.Second):
		t.Fatalf("%s: nothing within 3 s", what)
		panic("unreachable")
	}
}

// A link must end, and be replaced, although the other side stays silent: the
// library goes on reading a stream whose context has ended as long as its
// request is open.
func TestLinkOfSilentAgent(t *testing.T) {
	q := newQuietAgent()
	events := newLinkEvents()
	links := &agent.Links{Entry: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	ctx, cancel := context.WithCancel(t.Context())
	links.Open(ctx, "agent.1", serveAgent(t, q))
	within(t, "first link", events.up)
	links.Reset("agent.1")
	if gone := within(t, "end of the first link", events.down); gone {
		t.Error("the agent counts as gone after a reset")
	}
	within(t, "second link", events.up)
	cancel()
	ended := make(chan bool)
	go func() {
		links.Wait()
		close(ended)
	}()
	within(t, "end of the links", ended)
}

func TestLinkOfAnotherIncarnation(t *testing.T) {
	events := newLinkEvents()
	links := &agent.Links{Entry: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	links.Open(t.Context(), "agent.0", serveAgent(t, newQuietAgent()))
	if gone := within(t, "end of the link", events.down); !gone {
		t.Error("an incarnation that was replaced does not count as gone")
	}
}
