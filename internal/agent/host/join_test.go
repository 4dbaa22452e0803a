package host_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	entryhost "github.com/savorystair/savorystair/internal/entry/host"
	"github.com/savorystair/savorystair/internal/entry/operator"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/table"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const loopback = "127.0.0.1:0"

func startEntry(t *testing.T, id, tableAddress string, seeds ...string) *entryhost.Entry {
	t.Helper()
	e, err := entryhost.Start(process.Entry{
		ID: id, Region: "r", Zone: "z", TableAddress: tableAddress,
		CallerAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback, Seeds: seeds,
	}, zap.NewNop(), entryhost.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// waitForAgents waits until an entry has usable agents.
func waitForAgents(t *testing.T, e *entryhost.Entry, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); e.UsableAgents() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s has no agent after %s", e.Incarnation(), within)
		}
	}
}

// An entry that joins later must have agents soon. It asks the other entries for
// their agents, and while the table is down it asks the entries of its settings.
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
	startAgent(t, agenthost.Options{}, first.PeerAddress())
	waitForAgents(t, first, 5*time.Second)
	waitForAgents(t, startEntry(t, "second", ln.Addr().String()), maxJoinDelay)
	faults := tablepb.NewTableFaultsClient(h2c.NewClient(true, nil), "http://"+ln.Addr().String())
	if _, err := faults.SetFaults(ctx, connect.NewRequest(&tablepb.SetFaultsRequest{Down: true})); err != nil {
		t.Fatal(err)
	}
	waitForLink(t, startEntry(t, "third", ln.Addr().String(), first.PeerAddress()), maxJoinDelay)
}

// maxJoinDelay is the time within which a new entry must have agents. The load
// balancer checks each second whether the entry is ready, and removes it after
// two failed checks.
const maxJoinDelay = 2 * time.Second

// waitForLink waits until an entry has a link to an agent.
func waitForLink(t *testing.T, e *entryhost.Entry, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		endpoints, err := e.Endpoints(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(endpoints, func(k operator.Endpoint) bool { return k.Linked }) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s has no link to an agent after %s", e.Incarnation(), within)
		}
	}
}
