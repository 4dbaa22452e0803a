package agent_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// slowAgent answers the first message of a session when the test allows it.
type slowAgent struct {
	dialed   chan bool // receives a value for the first message of each session
	answer   chan bool // each value allows one answer
	received chan bool // whether a further message contains a start
}

func newSlowAgent() slowAgent {
	return slowAgent{make(chan bool, 9), make(chan bool, 9), make(chan bool, 9)}
}

func (a slowAgent) Link(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	a.dialed <- true
	select {
	case <-a.answer:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := stream.Send(&wirepb.FromAgent{Agent: "agent.1"}); err != nil {
		return err
	}
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		a.received <- len(msg.Starts) > 0
	}
}

// Guards against a start that reaches the agent after its job has ended and its cancel
// was dropped: it was decided on for a session whose end the sender had not handled.
func TestMessageOfAnEndedSessionIsNotSentInTheNext(t *testing.T) {
	slow := newSlowAgent()
	events := newLinkEvents()
	links := &agent.Links{EntryIncarnation: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	links.Open(t.Context(), "agent.1", serveAgent(t, slow))
	slow.answer <- true
	receiveWithin(t, "first session", events.up)
	receiveWithin(t, "first message of the first session", slow.dialed)
	ended := events.session.Load()
	start := &wirepb.ToAgent{Starts: []*wirepb.Start{{}}}
	links.Reset("agent.1", ended)
	receiveWithin(t, "end of the first session", events.down)
	links.Send("agent.1", ended, start)
	receiveWithin(t, "first message of the second session", slow.dialed)
	links.Send("agent.1", ended, start)
	slow.answer <- true
	receiveWithin(t, "second session", events.up)
	links.Send("agent.1", ended, start)
	links.Send("agent.1", events.session.Load(), &wirepb.ToAgent{Ping: true})
	if isStart := receiveWithin(t, "message in the second session", slow.received); isStart {
		t.Error("a start of the first session was sent in the second one")
	}
}

// Guards against a link that is closed again as soon as it is open, since its earlier
// session was silent.
func TestResetOfAnEndedSessionKeepsTheNext(t *testing.T) {
	slow := newSlowAgent()
	events := newLinkEvents()
	links := &agent.Links{EntryIncarnation: "entry.1", Listener: events, Log: zap.NewNop(), Meter: &h2c.Meter{}}
	links.Open(t.Context(), "agent.1", serveAgent(t, slow))
	slow.answer <- true
	slow.answer <- true
	receiveWithin(t, "first session", events.up)
	ended := events.session.Load()
	links.Reset("agent.1", ended)
	receiveWithin(t, "end of the first session", events.down)
	receiveWithin(t, "second session", events.up)
	links.Reset("agent.1", ended)
	links.Send("agent.1", events.session.Load(), &wirepb.ToAgent{Ping: true})
	receiveWithin(t, "message in the second session", slow.received)
	select {
	case <-events.down:
		t.Error("the reset of the first session ended the second one")
	case <-time.After(50 * time.Millisecond):
	}
}
