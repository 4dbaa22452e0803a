package entry_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
)

// The agent reports how its endpoint's run times compare with the declared ones,
// from the third task on.
func TestReportedRunTimeRatio(t *testing.T) {
	r := newRig(largeLedger())
	for i, want := range []float32{0, 0, 2} {
		start := startOf("j", 1, uint32(i), 1)
		start.Starts[0].DeclaredMs = 100
		r.receive(1, start)
		ended := r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "j", Task: uint32(i)}, Took: 200 * time.Millisecond})
		for _, act := range ended {
			send, ok := act.(entry.Send)
			if !ok {
				continue
			}
			if got := send.Msg.Load.RunTimeRatio; got != want {
				t.Errorf("after %d tasks the reported ratio is %v, want %v", i+1, got, want)
			}
		}
	}
}
