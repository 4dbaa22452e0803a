package platform

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// maxGroup bounds the claims of one commit.
	maxGroup = 128
	// slowCommit is how long a commit may take before another starts beside
	// it.
	slowCommit = 100 * time.Millisecond
	// maxCommits bounds the commits in flight.
	maxCommits = 4
	// claimTries bounds the commits that are tried for one claim.
	claimTries = 3
	// claimRetry is the delay before a claim is tried again.
	claimRetry = 10 * time.Millisecond
	// claimQueue is the length of the queue before the claimer.
	claimQueue = 4096
)

// Claims writes claim rows in groups and reads them.
type Claims struct {
	Table Table
	Log   *zap.Logger
	// Emit takes the outcome of each write and read.
	Emit func(caller.Event)
	// Health is told of commits that failed.
	Health *Health
	// Count takes the reason of each claim that is tried again.
	Count func(reason.Reason)

	writes chan *claim
	reads  chan caller.Key
}

// claim is a claim row to be written. It carries a token, so that a write that
// was applied although its answer was lost is recognized.
type claim struct {
	caller.WriteClaim
	tries int
}

// NewClaims returns a writer that Serve runs.
func NewClaims(t Table, h *Health, log *zap.Logger, emit func(caller.Event), count func(reason.Reason)) *Claims {
	return &Claims{
		Table:  t,
		Log:    log,
		Emit:   emit,
		Health: h,
		Count:  count,
		writes: make(chan *claim, claimQueue),
		reads:  make(chan caller.Key, claimQueue),
	}
}

// Write queues a claim. A full queue fails it at once.
func (c *Claims) Write(w caller.WriteClaim) {
	select {
	case c.writes <- &claim{WriteClaim: w}:
	default:
		go c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
	}
}

// Read queues the read of a claim row. A full queue fails it at once.
func (c *Claims) Read(key caller.Key) {
	select {
	case c.reads <- key:
	default:
		go c.Emit(caller.ClaimFailed{Key: key})
	}
}

// Serve commits claims until ctx ends. Usually one commit is in flight and the
// claims that come meanwhile make the next group; while a commit is slow,
// others go beside it.
func (c *Claims) Serve(ctx context.Context) error {
	ended := make(chan struct{}, maxCommits)
	flights := 0
	var group []*claim
	slow := time.NewTimer(slowCommit)
	defer slow.Stop()
	for {
		var writes chan *claim
		if len(group) < maxGroup {
			writes = c.writes
		}
		overdue := false
		select {
		case w := <-writes:
			group = c.join(group, w)
		case <-ended:
			flights--
		case <-slow.C:
			overdue = true
			slow.Reset(slowCommit)
		case <-ctx.Done():
			return ctx.Err()
		}
		group = c.gather(group)
		if len(group) == 0 || flights > 0 && !overdue || flights >= maxCommits {
			continue
		}
		flights++
		slow.Reset(slowCommit)
		go c.flight(ctx, group, ended)
		group = nil
	}
}

// gather adds the claims that wait already, up to a bound.
func (c *Claims) gather(group []*claim) []*claim {
	for len(group) < maxGroup {
		select {
		case w := <-c.writes:
			group = c.join(group, w)
		default:
			return group
		}
	}
	return group
}

// join adds a claim to a group. A commit can write a row only once, so that a
// claim of a job that is in the group already fails.
func (c *Claims) join(group []*claim, w *claim) []*claim {
	for _, other := range group {
		if other.Key == w.Key {
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
			return group
		}
	}
	return append(group, w)
}

func (c *Claims) flight(ctx context.Context, group []*claim, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	group, writes := c.encode(group)
	resp, err := c.Table.Commit(ctx, writes)
	if err != nil {
		c.Health.Failed()
		c.Log.Warn("claims not committed", zap.Int("claims", len(group)), zap.Error(err))
		pause.For(ctx, claimRetry)
		c.again(group)
		return
	}
	c.Health.Worked()
	c.settle(group, resp)
}

// encode returns the claims that can be written, with their writes.
func (c *Claims) encode(group []*claim) ([]*claim, []*tablepb.Write) {
	var kept []*claim
	var writes []*tablepb.Write
	for _, w := range group {
		row, err := write(claimKey(w.Key), w.IfVersion, w.Row)
		if err != nil {
			c.Log.Error("claim can't be written", zap.String("team", w.Key.Team), zap.String("job", w.Key.ID), zap.Error(err))
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
			continue
		}
		kept = append(kept, w)
		writes = append(writes, row)
	}
	return kept, writes
}

// again queues claims whose outcome is open; their tokens tell what became of
// the earlier try.
func (c *Claims) again(group []*claim) {
	for _, w := range group {
		c.Count(reason.TableAnswerLost)
		w.tries++
		if w.tries >= claimTries {
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
			continue
		}
		select {
		case c.writes <- w:
		default:
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
		}
	}
}

// settle reports the outcome of a commit. When one row stood in the way, none
// was written, and the others are tried again.
func (c *Claims) settle(group []*claim, resp *tablepb.CommitResponse) {
	if resp.Committed {
		for i, w := range group {
			c.Emit(caller.ClaimWritten{Key: w.Key, Token: w.Row.Token, Version: resp.Versions[i]})
		}
		return
	}
	found := byKey(resp.Conflicts)
	for _, w := range group {
		row := found[claimKey(w.Key)]
		if row == nil {
			c.requeue(w)
			continue
		}
		c.Emit(conflict(w, row))
	}
}

// requeue puts a claim back that only others stood in the way of.
func (c *Claims) requeue(w *claim) {
	c.Count(reason.TableConflict)
	select {
	case c.writes <- w:
	default:
		c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
	}
}

// conflict tells what the row says that stood in a claim's way.
func conflict(w *claim, row *tablepb.Row) caller.Event {
	var held wirepb.ClaimRow
	if row.Version == 0 || proto.Unmarshal(row.Value, &held) != nil {
		return caller.ClaimFailed{Key: w.Key, Token: w.Row.Token}
	}
	if held.Token == w.Row.Token {
		return caller.ClaimWritten{Key: w.Key, Token: held.Token, Version: row.Version}
	}
	return caller.ClaimFound{Key: w.Key, Token: w.Row.Token, Row: &held, Version: row.Version}
}

// ServeReads reads claim rows in groups until ctx ends.
func (c *Claims) ServeReads(ctx context.Context) error {
	for {
		var group []caller.Key
		select {
		case key := <-c.reads:
			group = append(group, key)
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(group) < maxGroup && len(c.reads) > 0 {
			group = append(group, <-c.reads)
		}
		c.read(ctx, group)
	}
}

func (c *Claims) read(ctx context.Context, group []caller.Key) {
	keys := make([]string, len(group))
	for i, key := range group {
		keys[i] = claimKey(key)
	}
	found, err := readRows(ctx, c.Table, keys...)
	if err != nil {
		c.Health.Failed()
	}
	for _, key := range group {
		c.Emit(readOutcome(key, found, err))
	}
}

func readOutcome(key caller.Key, found rows, err error) caller.Event {
	var row wirepb.ClaimRow
	if err != nil {
		return caller.ClaimFailed{Key: key}
	}
	version, err := found.decode(claimKey(key), &row)
	switch {
	case err != nil:
		return caller.ClaimFailed{Key: key}
	case version == 0:
		return caller.ClaimAbsent{Key: key}
	}
	return caller.ClaimFound{Key: key, Row: &row, Version: version}
}

func claimKey(key caller.Key) string { return "job/" + key.Team + "/" + key.ID }

// Owner returns the entry incarnation that holds a job's latest claim, or ""
// if the job was never claimed.
func (c *Claims) Owner(ctx context.Context, key caller.Key) (string, error) {
	found, err := readRows(ctx, c.Table, claimKey(key))
	if err != nil {
		return "", err
	}
	var row wirepb.ClaimRow
	version, err := found.decode(claimKey(key), &row)
	if err != nil || version == 0 || len(row.Claims) == 0 {
		return "", err
	}
	return row.Claims[len(row.Claims)-1].Owner, nil
}
