package host_test

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// Guards against a link that is lost with its messages, cancels among them: an
// entry that dials an earlier incarnation of the agent reaches the current one,
// which must keep the entry's link.
func TestLinkToAnEarlierIncarnationEndsNoLink(t *testing.T) {
	t.Parallel()
	a := startAgent(t, agenthost.Options{})
	open := func(incarnation string) *connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent] {
		stream := wirepb.NewAgentLinkClient(h2c.NewClient(true, nil), "http://"+a.LinkAddress()).Link(t.Context())
		if err := stream.Send(&wirepb.ToAgent{Entry: "e.1", Agent: incarnation}); err != nil {
			t.Fatal(err)
		}
		answer, err := stream.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if answer.Agent != a.Incarnation() {
			t.Errorf("the agent calls itself %s, want %s", answer.Agent, a.Incarnation())
		}
		return stream
	}
	current := open(a.Incarnation())
	open("earlier.1")
	received := make(chan error, 1)
	go func() {
		_, err := current.Receive()
		received <- err
	}()
	time.Sleep(100 * time.Millisecond)
	// A failed send is reported by the receive.
	_ = current.Send(&wirepb.ToAgent{Ping: true})
	select {
	case err := <-received:
		if err != nil {
			t.Errorf("the link to the current incarnation has ended: %v", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("no answer to a ping over the link to the current incarnation")
	}
}

// Guards against links of whose end the control state is not informed: a planned stop
// would wait 1 s for the confirmations of their entries.
func TestStopWaitsForNoLostLink(t *testing.T) {
	t.Parallel()
	a := startAgent(t, agenthost.Options{})
	for i := range 20 {
		client, breakConns := h2c.NewBreakableClient(nil)
		stream := wirepb.NewAgentLinkClient(client, "http://"+a.LinkAddress()).Link(t.Context())
		if err := stream.Send(&wirepb.ToAgent{Entry: fmt.Sprint("e.", i), Agent: a.Incarnation()}); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Receive(); err != nil {
			t.Fatal(err)
		}
		breakConns()
	}
	began := time.Now()
	if err := a.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("planned stop without a link took %s, want less than 1s", took)
	}
}
