package agent_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// silentAgent answers the first message of a link and then sends nothing more.
type silentAgent struct {
	hasEntry chan bool // whether the first message contained the entry's incarnation
}

func (a silentAgent) Link(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	a.hasEntry <- first.Entry != ""
	if err := stream.Send(&wirepb.FromAgent{Agent: "agent.1"}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// linkEvents is a Listener that records the events of links.
type linkEvents struct {
	session *atomic.Uint64 // number of the latest session that was open
	ended   *atomic.Uint64 // number of the latest session that ended
	up      chan bool
	down    chan bool // whether the incarnation was gone
}

func (l linkEvents) LinkUp(_ string, session uint64, _ *wirepb.AgentInfo) {
	l.session.Store(session)
	l.up <- true
}

func (l linkEvents) LinkDown(_ string, session uint64, gone bool) {
	l.ended.Store(session)
	l.down <- gone
}

func (l linkEvents) MessageReceived(string, *wirepb.FromAgent) {}

func newLinkEvents() linkEvents {
	return linkEvents{&atomic.Uint64{}, &atomic.Uint64{}, make(chan bool, 9), make(chan bool, 9)}
}

func newSilentAgent() silentAgent { return silentAgent{hasEntry: make(chan bool, 9)} }

func serveAgent(t *testing.T, a wirepb.AgentLinkHandler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewAgentLinkHandler(a))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go h2c.NewService(ln, mux).Serve(t.Context())
	return ln.Addr().String()
}

// receiveWithin returns the next value of a channel, or fails the test after 3 s.
func receiveWithin(t *testing.T, event string, ch <-chan bool) bool {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(3 * time.Second):
		t.Fatalf("%s: no event within 3 s", event)
		panic("unreachable")
	}
}

// A reset must end and reopen the link to an agent that sends nothing. The reset
// would hang if it only cancelled the context of the stream, because the HTTP/2
// library keeps reading the stream while its request is open.
func TestLinkOfSilentAgent(t *testing.T) {
	silent := newSilentAgent()
	events := newLinkEvents()
	links := &agent.Links{EntryIncarnation: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	ctx, cancel := context.WithCancel(t.Context())
	links.Open(ctx, "agent.1", serveAgent(t, silent))
	receiveWithin(t, "first link", events.up)
	session := events.session.Load()
	links.Reset("agent.1", session)
	if gone := receiveWithin(t, "end of the first link", events.down); gone {
		t.Error("LinkDown after a reset reports gone, want not gone")
	}
	if ended := events.ended.Load(); ended != session {
		t.Errorf("LinkDown of session %d after the reset of session %d", ended, session)
	}
	receiveWithin(t, "second link", events.up)
	cancel()
	allEnded := make(chan bool)
	go func() {
		links.Wait()
		close(allEnded)
	}()
	receiveWithin(t, "end of the links", allEnded)
}

// A link ends permanently if another incarnation answers at the agent's address.
func TestLinkOfAnotherIncarnation(t *testing.T) {
	events := newLinkEvents()
	links := &agent.Links{EntryIncarnation: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	links.Open(t.Context(), "agent.0", serveAgent(t, newSilentAgent()))
	if gone := receiveWithin(t, "end of the link", events.down); !gone {
		t.Error("LinkDown of a replaced incarnation reports not gone, want gone")
	}
}

// An agent whose process refused connections for a moment counts as gone. When it
// announces itself again, its link must open at once.
func TestLinkOpensAgainAfterRefusedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	events := newLinkEvents()
	links := &agent.Links{EntryIncarnation: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	links.Open(t.Context(), "agent.1", address)
	for gone := false; !gone; {
		gone = receiveWithin(t, "refused connection", events.down)
	}
	if ln, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewAgentLinkHandler(newSilentAgent()))
	go h2c.NewService(ln, mux).Serve(t.Context())
	links.Open(t.Context(), "agent.1", address)
	receiveWithin(t, "link after the process listens again", events.up)
	if ended, session := events.ended.Load(), events.session.Load(); ended == 0 || ended >= session {
		t.Errorf("session %d opened after session %d has ended, want ascending numbers", session, ended)
	}
}
