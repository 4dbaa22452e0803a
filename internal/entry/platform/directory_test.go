package platform_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// roundBound is how long until an entry has read the rows again: it does so every
// 5 s.
const roundBound = 6 * time.Second

// An entry that can't read the rows must not take the others for gone: they may
// be accepting edits that it does not hear of. Once it reads them, another counts
// for 17 s from when its row was last seen to change, and no longer. Here the row
// changed just before the outage, unseen.
func TestDirectoryInOutage(t *testing.T) {
	t.Parallel()
	tab, address := serveTable(t)
	var ahead, rounds atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	directory := func(id string, emit func(caller.Event)) *platform.Directory {
		return &platform.Directory{
			Table: platform.NewTable(address, nil),
			Self:  platform.Peer{Incarnation: id + ".1", ID: id, Region: "r", Address: id},
			Log:   zap.NewNop(),
			Emit:  emit,
			Now:   now,
		}
	}
	a := directory("a", func(caller.Event) { rounds.Add(1) })
	go a.Serve(t.Context())
	nextRound(t, &rounds)
	other, otherStop := context.WithCancel(t.Context())
	defer otherStop()
	stopped := make(chan struct{})
	b := directory("b", func(caller.Event) {})
	time.Sleep(100 * time.Millisecond)
	go func() {
		defer close(stopped)
		b.Serve(other)
	}()
	liveIs(t, a, 1, roundBound, "the other entry is found")
	// The other one writes its row 100 ms after this one has read the rows.
	time.Sleep(300 * time.Millisecond)
	setFaults(t, tab, &tablepb.SetFaultsRequest{Down: true})
	ahead.Store(int64(time.Minute))
	if n := len(a.Live()); n != 1 {
		t.Errorf("%d live entries after a minute without the table, want 1", n)
	}
	otherStop()
	// A write that is under way could be applied once the faults end.
	<-stopped
	setFaults(t, tab, &tablepb.SetFaultsRequest{})
	nextRound(t, &rounds)
	if n := len(a.Live()); n != 1 {
		t.Errorf("%d live entries once a row is seen to have changed, want 1", n)
	}
	ahead.Add(int64(18 * time.Second))
	nextRound(t, &rounds)
	if n := len(a.Live()); n != 0 {
		t.Errorf("%d live entries 18 s after the last change was seen, want none", n)
	}
}

// nextRound waits until the rows were read once more.
func nextRound(t *testing.T, rounds *atomic.Int64) {
	t.Helper()
	had := rounds.Load()
	for deadline := time.Now().Add(roundBound); rounds.Load() == had; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the rows were not read again within %s", roundBound)
		}
	}
}

func liveIs(t *testing.T, d *platform.Directory, want int, within time.Duration, what string) {
	t.Helper()
	for deadline := time.Now().Add(within); len(d.Live()) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
	}
}
