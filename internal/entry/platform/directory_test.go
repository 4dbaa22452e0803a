package platform_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// refreshBound is the time within which an entry reads the rows again, which it
// does every 5 s.
const refreshBound = 6 * time.Second

// TestDirectoryInOutage checks that an entry that can't read the rows keeps counting
// the others as live: they may be accepting edits that it doesn't receive. Once it
// reads the rows again, another entry counts as live for 17 s after a change of its
// row was last seen. Here the row changes after the last read before the outage, so
// the change is seen only after the outage.
func TestDirectoryInOutage(t *testing.T) {
	t.Parallel()
	tab, address := serveTable(t)
	var clockOffset, refreshes atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	newDirectory := func(id string, emit func(caller.Event)) *platform.Directory {
		return &platform.Directory{
			Table: platform.NewTableClient(address, nil),
			Self:  platform.Peer{Incarnation: id + ".1", ID: id, Region: "r", Address: id},
			Log:   zap.NewNop(),
			Emit:  emit,
			Now:   now,
		}
	}
	a := newDirectory("a", func(caller.Event) { refreshes.Add(1) })
	go a.Serve(t.Context())
	waitForRefresh(t, &refreshes)
	bRefreshed := make(chan struct{}, 1)
	b := newDirectory("b", func(caller.Event) { bRefreshed <- struct{}{} })
	refreshOnce(t, b, bRefreshed)
	waitForLive(t, a, 1, refreshBound, "a has the row of b")
	waitForRefresh(t, &refreshes)
	// a reads the rows again in 5 s, so that it has not seen this write of b.
	refreshOnce(t, b, bRefreshed)
	setFaults(t, tab, &tablepb.SetFaultsRequest{Down: true})
	clockOffset.Store(int64(time.Minute))
	if n := len(a.Live()); n != 1 {
		t.Errorf("%d live entries after a minute without the table, want 1", n)
	}
	setFaults(t, tab, &tablepb.SetFaultsRequest{})
	waitForRefresh(t, &refreshes)
	if n := len(a.Live()); n != 1 {
		t.Errorf("%d live entries after a change of a row was seen, want 1", n)
	}
	clockOffset.Add(int64(18 * time.Second))
	waitForRefresh(t, &refreshes)
	if n := len(a.Live()); n != 0 {
		t.Errorf("%d live entries 18 s after the last change was seen, want none", n)
	}
}

// refreshOnce lets a directory write its row and read those of the others once.
func refreshOnce(t *testing.T, d *platform.Directory, refreshed <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		d.Serve(ctx)
	}()
	select {
	case <-refreshed:
	case <-time.After(refreshBound):
		t.Errorf("%s did not refresh within %s", d.Self.ID, refreshBound)
	}
	cancel()
	<-served
}

// waitForRefresh waits until the next read of the rows has ended.
func waitForRefresh(t *testing.T, refreshes *atomic.Int64) {
	t.Helper()
	before := refreshes.Load()
	for deadline := time.Now().Add(refreshBound); refreshes.Load() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the rows were not read again within %s", refreshBound)
		}
	}
}

// waitForLive waits until d has the wanted number of live entries.
func waitForLive(t *testing.T, d *platform.Directory, want int, timeout time.Duration, condition string) {
	t.Helper()
	for deadline := time.Now().Add(timeout); len(d.Live()) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", timeout, condition)
		}
	}
}

// Guards against agents that find no entry in the table since one row is of another
// writer.
func TestReadEntriesSkipsRowsOfOthers(t *testing.T) {
	t.Parallel()
	_, address := serveTable(t)
	client := platform.NewTableClient(address, nil)
	row, err := proto.Marshal(platform.Peer{Incarnation: "a.1", Address: "127.0.0.1:1"}.Row())
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range map[string][]byte{"entry/a.1": row, "entry/unreadable": {0xff}, "entry/empty": {}} {
		if resp, err := client.Commit(t.Context(), []*tablepb.Write{{Key: key, Value: value}}); err != nil || !resp.Committed {
			t.Fatalf("row %s: %v, error %v", key, resp, err)
		}
	}
	if entries, err := platform.ReadEntries(t.Context(), client); err != nil || len(entries) != 1 || entries[0].Address != "127.0.0.1:1" {
		t.Errorf("entries %v, error %v, want the one whose row can be read", entries, err)
	}
}
