package host_test

import (
	"net"
	"testing"

	"go.uber.org/zap"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	entryhost "github.com/savorystair/savorystair/internal/entry/host"
	"github.com/savorystair/savorystair/internal/settings/process"
)

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A process that can't bind one of its addresses keeps none of the others bound,
// so that a second attempt finds them free.
func TestFailedStartLeavesNoListener(t *testing.T) {
	used, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer used.Close()
	for role, start := range map[string]func(address string) error{
		"agent": func(address string) error {
			_, err := agenthost.Start(process.Agent{ID: "a", Zone: "z", LinkAddress: address, EndpointAddress: used.Addr().String()}, zap.NewNop(), agenthost.Options{})
			return err
		},
		"entry": func(address string) error {
			_, err := entryhost.Start(process.Entry{
				ID: "e", Region: "r", Zone: "z", CallerAddress: address, OperatorAddress: used.Addr().String(), PeerAddress: loopback,
			}, zap.NewNop(), entryhost.Options{})
			return err
		},
	} {
		address := freeAddress(t)
		if err := start(address); err == nil {
			t.Errorf("%s: started at an address that is in use", role)
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s: its other address is still bound: %v", role, err)
			continue
		}
		ln.Close()
	}
}
