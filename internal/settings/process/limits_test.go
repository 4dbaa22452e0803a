package process_test

import (
	"fmt"
	"testing"

	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/transport/budget"
)

// Guards against limits that exceed the memory or the descriptors of a host, and against
// limits that a burst of callers meets.
func TestLimitsFollowTheHost(t *testing.T) {
	for _, test := range []struct{ memoryMB, descriptors, atLeast int }{
		{64, 1024, 200}, {144, 3075, 1000}, {184, 3075, 1000}, {536, 8192, 4000},
	} {
		text := fmt.Sprintf(`{"id":"e","region":"r","zone":"z","caller_address":"127.0.0.1:1","operator_address":"127.0.0.1:2",
			"peer_address":"127.0.0.1:3","table_address":"127.0.0.1:4",
			"adapter":{"ready_address":"127.0.0.1:5","memory_mb":%d,"max_descriptors":%d}}`, test.memoryMB, test.descriptors)
		e, err := process.ParseEntry("entry.json", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		conns := 0
		for _, l := range []budget.ListenerLimits{e.CallerLimits(), e.PeerLimits(), e.OperatorLimits(), e.ReadinessLimits()} {
			conns += l.MaxConns() + l.MaxConns()/8
		}
		if conns > test.descriptors-200 {
			t.Errorf("%+v: %d connections are more than the descriptors allow", test, conns)
		}
		if n := e.CallerLimits().MaxConns(); n < test.atLeast {
			t.Errorf("%+v: %d connections of callers, want %d", test, n, test.atLeast)
		}
		if limit := e.TransportLimits().MemoryBytes(); limit > int64(test.memoryMB)<<19 {
			t.Errorf("%+v: a budget of %d bytes, want at most half of the memory", test, limit)
		}
	}
}
