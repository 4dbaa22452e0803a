package host_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	entryhost "github.com/savorystair/savorystair/internal/entry/host"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/standin/table"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const loopback = "127.0.0.1:0"

func startEntry(t *testing.T, id, tableAddress string) *entryhost.Entry {
	t.Helper()
	e, err := entryhost.Start(process.Entry{
		ID: id, Region: "r", Zone: "z", TableAddress: tableAddress,
		CallerAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback,
	}, zap.NewNop(), entryhost.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// usable waits until an entry has agents.
func usable(t *testing.T, e *entryhost.Entry, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); e.Usable() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s has no agent after %s", e.Incarnation(), within)
		}
	}
}

// An agent that has links already hears of entries that join later, or that the
// entries which it knows did not know when it announced itself to them.
func TestEntryThatJoinsLaterGetsAgents(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h2c.NewService(ln, table.New(table.Options{}).Handler()).Serve(ctx)
	first := startEntry(t, "first", ln.Addr().String())
	a, err := agenthost.Start(process.Agent{
		ID: "a", Zone: "z", LinkAddress: loopback, EndpointAddress: loopback, Entries: []string{first.PeerAddress()},
	}, zap.NewNop(), agenthost.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	e, err := endpoint.Run(endpoint.Options{Address: loopback, Agent: a.EndpointAddress(), Service: "s", Slots: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	usable(t, first, 5*time.Second)
	// Entries read one another's rows every 5 s.
	usable(t, startEntry(t, "second", ln.Addr().String()), 10*time.Second)
}
