package budget_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/budget"
)

const mib = 1 << 20

// open opens a connection that must be granted.
func open(t *testing.T, table *budget.Table, now time.Duration, address string) budget.ID {
	t.Helper()
	id, reason, _ := table.Open(now, 1, address, true)
	if reason != budget.None {
		t.Fatalf("connection of %s refused: %s", address, reason)
	}
	return id
}

// body opens a connection that reads a body with the given bytes.
func body(t *testing.T, table *budget.Table, now time.Duration, address string, bytes int64) budget.ID {
	t.Helper()
	id := open(t, table, now, address)
	table.SetState(now, id, budget.Body)
	if reason, _ := table.Reserve(now, id, bytes); reason != budget.None {
		t.Fatalf("%d bytes of %s refused: %s", bytes, address, reason)
	}
	table.Read(now, id, bytes)
	return id
}

func newTable(memory int64) *budget.Table {
	table := &budget.Table{}
	table.SetLimits(budget.Limits{}.WithMemoryBytes(memory))
	return table
}

// ids returns the connections to be closed, in order.
func ids(closings []budget.Closing) []budget.ID {
	var all []budget.ID
	for _, c := range closings {
		all = append(all, c.ID)
	}
	return all
}

// Guards against limits that callers meet on a calm day or in a burst: 1,000 callers
// behind one address, each with a job of 5,000 bytes, at an entry with 144 MB.
func TestBurstIsGranted(t *testing.T) {
	table := newTable(49 * mib)
	table.SetListener(1, budget.ListenerLimits{}.WithMaxConns(1100))
	for range 1000 {
		id := body(t, table, time.Second, "balancer", 5000)
		if !table.SetState(time.Second, id, budget.Serving) {
			t.Fatal("a complete request was closed")
		}
	}
	for now := time.Second; now < 20*time.Second; now += time.Second / 4 {
		if closings := table.Tick(now); len(closings) > 0 {
			t.Fatalf("closed %+v at %s, want none", closings, now)
		}
	}
}

// Guards against closing clients that send as they should while others have stopped, and
// against closing requests that are being served.
func TestStalledConnectionsAreClosedFirst(t *testing.T) {
	table := newTable(9 * mib / 2)
	served := body(t, table, 0, "a", mib)
	table.SetState(0, served, budget.Serving)
	small := body(t, table, 0, "b", mib/4)
	large := body(t, table, 0, "c", mib)
	now := 2 * time.Second
	for at := time.Duration(0); at <= now; at += time.Second / 4 {
		table.Tick(at)
	}
	active := body(t, table, now, "d", mib)
	needy := open(t, table, now, "e")
	table.SetState(now, needy, budget.Body)
	reason, closings := table.Reserve(now, needy, mib)
	if got := ids(closings); reason != budget.MemoryBudget || len(got) != 1 || got[0] != large {
		t.Fatalf("reason %s, closed %v, want memory_budget and the largest stalled one, %d (not %d, %d, %d)", reason, got, large, small, active, served)
	}
	if reason, closings := table.Reserve(now, needy, mib); reason != budget.MemoryBudget || len(closings) > 0 {
		t.Errorf("reason %s, closed %v while a connection is being closed, want memory_budget and none", reason, ids(closings))
	}
	table.Close(large)
	if reason, _ := table.Reserve(now, needy, mib); reason != budget.None {
		t.Errorf("refused after memory was released: %s", reason)
	}
	if table.SetState(now, large, budget.Serving) {
		t.Error("a closed connection may serve a request")
	}
}

// Guards against senders of single bytes, which never stall.
func TestSlowConnectionsAreClosedForOthers(t *testing.T) {
	table := newTable(2 * mib)
	slow := body(t, table, 0, "a", mib)
	for i := range 40 {
		now := time.Duration(i) * time.Second / 10
		table.Read(now, slow, mib+int64(i))
		table.Tick(now)
	}
	// The first MiB came at once; from here on the sender trickles.
	now := 4 * time.Second
	table.SetState(now, slow, budget.Body)
	for i := range 30 {
		now += time.Second / 10
		table.Read(now, slow, 2*mib+int64(i))
		table.Tick(now)
	}
	needy := open(t, table, now, "b")
	table.SetState(now, needy, budget.Body)
	if _, closings := table.Reserve(now, needy, mib); len(closings) != 1 || closings[0].ID != slow {
		t.Errorf("closed %v, want the slow sender", ids(closings))
	}
}

// Guards against large bodies that keep out small requests.
func TestBodiesLeaveRoomForConnections(t *testing.T) {
	table := newTable(4 * mib)
	body(t, table, 0, "a", 2*mib)
	needy := open(t, table, 0, "b")
	table.SetState(0, needy, budget.Body)
	if reason, _ := table.Reserve(0, needy, 3*mib/2); reason != budget.MemoryBudget {
		t.Errorf("reason %s for bodies of 3.5 of 4 MiB, want memory_budget", reason)
	}
	for range 16 {
		open(t, table, 0, "c")
	}
}

// Guards against one address that holds the budget with uploads that make progress.
func TestAddressShareOnlyWhileOthersWait(t *testing.T) {
	table := newTable(4 * mib)
	now := time.Second
	greedy := body(t, table, now, "a", 9*mib/4)
	other := open(t, table, now, "b")
	table.SetState(now, other, budget.Body)
	if reason, _ := table.Reserve(now, greedy, mib/4); reason != budget.None {
		t.Fatalf("refused %s while no one waits", reason)
	}
	reason, closings := table.Reserve(now, other, mib)
	if reason != budget.MemoryBudget || len(closings) != 1 || closings[0].ID != greedy || closings[0].Reason != budget.AddressShare {
		t.Errorf("reason %s, closed %+v, want the connection of the address over its share", reason, closings)
	}
	table.Close(greedy)
	again := open(t, table, now, "a")
	table.SetState(now, again, budget.Body)
	if reason, _ := table.Reserve(now, again, 5*mib/2); reason != budget.AddressShare {
		t.Errorf("reason %s for more than the share while another waits, want address_share", reason)
	}
}

// Guards against clients that use up the connections by doing nothing.
func TestConnectionLimit(t *testing.T) {
	table := newTable(64 * mib)
	table.SetListener(1, budget.ListenerLimits{}.WithMaxConns(8))
	for range 5 {
		table.SetState(0, open(t, table, 0, "a"), budget.Serving)
	}
	idle := open(t, table, 0, "a")
	table.SetState(0, idle, budget.Idle)
	head := open(t, table, 0, "a")
	table.SetState(0, head, budget.Head)
	fresh := open(t, table, 0, "a")
	for _, want := range []budget.ID{head, fresh, idle} {
		_, reason, closings := table.Open(1500*time.Millisecond, 1, "b", true)
		if reason != budget.None || len(closings) != 1 || closings[0].ID != want {
			t.Fatalf("reason %s, closed %v, want %d", reason, ids(closings), want)
		}
		table.Close(want)
	}
	if _, reason, closings := table.Open(1500*time.Millisecond, 1, "b", true); reason != budget.ConnectionLimit || len(closings) > 0 {
		t.Errorf("reason %s, closed %v, want a refusal: none has stalled", reason, ids(closings))
	}
	if _, reason, _ := table.Open(1500*time.Millisecond, 2, "b", true); reason != budget.None {
		t.Errorf("connection to another listener refused: %s", reason)
	}
}

// Guards against time-outs that don't follow a change of the limits, that count a pause
// of the process, or that close a client whose bytes have arrived.
func TestTimeouts(t *testing.T) {
	table := newTable(64 * mib)
	limits := budget.ListenerLimits{}.WithMaxConns(8)
	table.SetListener(1, limits.WithTimeouts(5*time.Second, 0))
	head := open(t, table, time.Second, "a")
	table.SetState(time.Second, head, budget.Head)
	idle := open(t, table, time.Second, "a")
	table.SetState(time.Second, idle, budget.Idle)
	tick := func(from, to time.Duration) (all []budget.Closing) {
		for now := from; now <= to; now += time.Second / 4 {
			all = append(all, table.Tick(now)...)
		}
		return all
	}
	if closings := tick(time.Second, 3500*time.Millisecond); len(closings) > 0 {
		t.Errorf("closed %+v within the time", closings)
	}
	// A pause of 20 s is not counted.
	if closings := table.Tick(23500 * time.Millisecond); len(closings) > 0 {
		t.Errorf("closed %+v after a pause", closings)
	}
	table.SetListener(1, limits.WithTimeouts(time.Second, 15*time.Second))
	closings := table.Tick(23750 * time.Millisecond)
	if len(closings) != 1 || closings[0].ID != head || closings[0].Reason != budget.HeadTimeout {
		t.Fatalf("closed %+v after the limit was lowered, want the head", closings)
	}
	if !table.Defer(23750*time.Millisecond, head) {
		t.Error("not deferred for bytes that have arrived")
	}
	if closings = tick(24*time.Second, 25*time.Second); len(closings) != 1 || closings[0].ID != head || table.Defer(25*time.Second, head) {
		t.Errorf("closed %+v after one deferral, want the head for good", closings)
	}
	if closings = tick(25*time.Second, 40*time.Second); len(closings) != 1 || closings[0].Reason != budget.IdleTimeout {
		t.Errorf("closed %+v, want the idle connection", closings)
	}
}

// Guards against closing connections whose requests the process has not got to yet, in a
// burst on a slow core.
func TestUnreadConnectionsStayOpen(t *testing.T) {
	table := newTable(64 * mib)
	table.SetListener(1, budget.ListenerLimits{}.WithMaxConns(8))
	for range 4 {
		open(t, table, 0, "a")
	}
	for now := time.Second / 4; now < 3*time.Second; now += time.Second / 4 {
		_, reason, closings := table.Open(now, 1, "a", true)
		for _, c := range closings {
			if !table.Defer(now, c.ID) {
				t.Fatalf("a connection with unread bytes was closed at %s", now)
			}
		}
		if reason != budget.None {
			break
		}
	}
}

// Guards against bodies that never end, and responses that are never read.
func TestProgressIsRequired(t *testing.T) {
	table := newTable(64 * mib)
	stalled := body(t, table, time.Second, "a", mib/64)
	fast := body(t, table, time.Second, "a", 0)
	unread := open(t, table, time.Second, "a")
	table.SetState(time.Second, unread, budget.Serving)
	table.Write(time.Second, unread, 2*time.Second)
	reasons := map[budget.ID]budget.Reason{}
	for now := time.Second; now < 20*time.Second; now += time.Second / 4 {
		table.Read(now, fast, int64(now.Seconds()*(32<<10)))
		table.Write(now, unread, 2*time.Second)
		for _, c := range table.Tick(now) {
			reasons[c.ID] = c.Reason
		}
	}
	if len(reasons) != 2 || reasons[stalled] != budget.BodyTooSlow || reasons[unread] != budget.ResponseNotRead {
		t.Errorf("closed %v, want %d as body_too_slow and %d as response_not_read", reasons, stalled, unread)
	}
}

// Guards against closing a connection because of a write that was pending while the
// process was paused, and against refusals that are never read.
func TestPendingWrites(t *testing.T) {
	table := newTable(64 * mib)
	id := body(t, table, time.Second, "a", 0)
	tick := func(from, to time.Duration) (all []budget.Closing) {
		for now := from; now < to; now += time.Second / 4 {
			table.Write(now, id, 2*time.Second)
			all = append(all, table.Tick(now)...)
		}
		return all
	}
	table.SetState(time.Second, id, budget.Serving)
	tick(time.Second, 3*time.Second)
	if closings := tick(33*time.Second, 34*time.Second); len(closings) > 0 {
		t.Errorf("closed %+v after a pause of 30s", closings)
	}
	slow := body(t, table, 34*time.Second, "b", 0)
	id = slow
	if closings := tick(34*time.Second, 60*time.Second); len(closings) < 2 || closings[len(closings)-1].Reason != budget.ResponseNotRead || closings[len(closings)-1].Was != budget.Serving {
		t.Errorf("closed %+v, want the slow body, and then its connection since the response is not read", closings)
	}
	table.Close(slow)
}

// Guards against answers that are lost after a pause: a write that began just before it,
// and that the table learns of only then, has had no time to make progress.
func TestWriteFromBeforeAPause(t *testing.T) {
	var table budget.Table
	id, _, _ := table.Open(0, 0, "a", true)
	table.SetState(time.Millisecond, id, budget.Serving)
	table.Tick(250 * time.Millisecond)
	resumed := 20 * time.Second
	table.Write(resumed, id, 300*time.Millisecond)
	if closings := table.Tick(resumed); len(closings) > 0 {
		t.Errorf("closed at once: %+v", closings)
	}
}

// Guards against a search of all connections for each new one while a crowd connects.
func TestConnectionsAreClosedInBatches(t *testing.T) {
	const most = 320
	var table budget.Table
	table.SetListener(0, budget.ListenerLimits{}.WithMaxConns(most))
	for range most {
		table.Open(0, 0, "a", true)
	}
	now := 500 * time.Millisecond
	_, reason, closings := table.Open(now, 0, "b", true)
	if reason != budget.None || len(closings) < 2 {
		t.Fatalf("reason %s with %d connections to be closed, want several at once", reason, len(closings))
	}
	if _, reason, more := table.Open(now, 0, "b", true); reason != budget.None || len(more) > 0 {
		t.Errorf("reason %s, %d more to be closed, want the room that the batch left", reason, len(more))
	}
}
