package peer_test

import (
	"context"
	"testing"

	"connectrpc.com/connect"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/peer"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// waitingControl holds a job that gets no answer while the test runs.
type waitingControl struct{ peer.Control }

func (waitingControl) Await(ctx context.Context, _ caller.Key, _ []byte, _ bool) (caller.Answer, bool, error) {
	<-ctx.Done()
	return caller.Answer{}, true, ctx.Err()
}

// An entry that replaced a job's owner at the same address gets the job submitted
// again, and asks at the owner's address, which is its own. It must not wait for
// itself until the deadline.
func TestAwaitOfAnEarlierProcessAtTheAddress(t *testing.T) {
	s := &peer.Server{Incarnation: "e.2", Control: waitingControl{}}
	resp, err := s.Await(t.Context(), connect.NewRequest(&wirepb.AwaitRequest{Team: "t", JobId: "j", Owner: "e.1"}))
	if err != nil {
		t.Fatal(err)
	}
	if resp.Msg.Known || resp.Msg.Incarnation != "e.2" {
		t.Errorf("response %v, want an unknown job at e.2", resp.Msg)
	}
}
