package entry_test

import (
	"testing"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// Entries that started at different times give one document of an outside source
// different versions, which then stay. An agent with the highest of them must
// accept the confirmations of the others while its zone is in service, and none
// that would bring a zone back.
func TestConfirmationOfAnOlderVersion(t *testing.T) {
	for _, tt := range []struct {
		name      string
		newerOpen bool
		olderOpen bool
		starts    int
	}{
		{"both in service", true, true, 1},
		{"out of service by the newer one", false, true, 0},
		{"out of service by the older one", true, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(largeLedger())
			r.receive(1, &wirepb.ToAgent{View: &wirepb.View{Version: 9, Open: tt.newerOpen, Echo: int64(r.now)}})
			start := startOf("j", 1, 0, 1)
			start.View = &wirepb.View{Version: 5, Open: tt.olderOpen, Confirmed: true, Echo: int64(r.now)}
			if got := len(startsOf(r.receive(2, start))); got != tt.starts {
				t.Errorf("%d tasks started, want %d", got, tt.starts)
			}
		})
	}
}
