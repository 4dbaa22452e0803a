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
	// maxBatchSize bounds the claims of one commit and the keys of one read.
	maxBatchSize = 128
	// slowCommitThreshold is how long a commit may take before the next one is
	// sent without waiting for it.
	slowCommitThreshold  = 100 * time.Millisecond
	maxConcurrentCommits = 4
	// maxClaimAttempts is how many failed commits a claim may be part of before
	// it fails.
	maxClaimAttempts = 3
	// claimRetryDelay is the delay before the claims of a failed commit are
	// queued again.
	claimRetryDelay = 10 * time.Millisecond
	// claimQueueSize is the capacity of the queue of writes, and of that of reads.
	claimQueueSize = 4096
)

// Claims writes and reads claim rows in batches.
type Claims struct {
	Table Table
	Log   *zap.Logger
	// Emit receives the outcome of each write and read.
	Emit func(caller.Event)
	// Health records which calls succeeded and which failed.
	Health *Health
	// CountRetry receives the reason of each retry of a claim.
	CountRetry func(reason.Reason)

	writes chan *pendingClaim
	reads  chan caller.Key
}

// pendingClaim is a claim row to be written. The token in the row identifies the
// write: if a retry finds its own token in the table, an earlier attempt was applied
// although its response was lost.
type pendingClaim struct {
	caller.WriteClaim
	failedAttempts int
}

// NewClaims returns a Claims whose queues are processed by ServeWrites and
// ServeReads.
func NewClaims(t Table, h *Health, log *zap.Logger, emit func(caller.Event), countRetry func(reason.Reason)) *Claims {
	return &Claims{
		Table:      t,
		Log:        log,
		Emit:       emit,
		Health:     h,
		CountRetry: countRetry,
		writes:     make(chan *pendingClaim, claimQueueSize),
		reads:      make(chan caller.Key, claimQueueSize),
	}
}

// Write queues a claim. If the queue is full, the claim fails at once.
func (c *Claims) Write(w caller.WriteClaim) {
	select {
	case c.writes <- &pendingClaim{WriteClaim: w}:
	default:
		go c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
	}
}

// Read queues the read of a claim row. If the queue is full, the read fails at
// once.
func (c *Claims) Read(key caller.Key) {
	select {
	case c.reads <- key:
	default:
		go c.Emit(caller.ClaimFailed{Key: key})
	}
}

// ServeWrites commits the queued claims until ctx ends. Usually one commit is in
// flight and the claims that arrive meanwhile form the next batch. If a commit
// takes longer than slowCommitThreshold, the next one is sent concurrently.
func (c *Claims) ServeWrites(ctx context.Context) error {
	done := make(chan struct{}, maxConcurrentCommits)
	inFlight := 0
	var batch []*pendingClaim
	slowTimer := time.NewTimer(slowCommitThreshold)
	defer slowTimer.Stop()
	for {
		var writes chan *pendingClaim
		if len(batch) < maxBatchSize {
			writes = c.writes
		}
		overdue := false
		select {
		case w := <-writes:
			batch = c.addToBatch(batch, w)
		case <-done:
			inFlight--
		case <-slowTimer.C:
			overdue = true
			slowTimer.Reset(slowCommitThreshold)
		case <-ctx.Done():
			return ctx.Err()
		}
		batch = c.fillBatch(batch)
		if len(batch) == 0 || inFlight > 0 && !overdue || inFlight >= maxConcurrentCommits {
			continue
		}
		inFlight++
		slowTimer.Reset(slowCommitThreshold)
		go c.commitBatch(ctx, batch, done)
		batch = nil
	}
}

// fillBatch adds the queued claims to a batch, up to maxBatchSize.
func (c *Claims) fillBatch(batch []*pendingClaim) []*pendingClaim {
	for len(batch) < maxBatchSize {
		select {
		case w := <-c.writes:
			batch = c.addToBatch(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// addToBatch adds a claim to a batch. A commit can write a row only once, so the
// claim fails if the batch already has one of the same job.
func (c *Claims) addToBatch(batch []*pendingClaim, w *pendingClaim) []*pendingClaim {
	for _, other := range batch {
		if other.Key == w.Key {
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
			return batch
		}
	}
	return append(batch, w)
}

// commitBatch writes a batch and sends on done afterwards.
func (c *Claims) commitBatch(ctx context.Context, batch []*pendingClaim, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	batch, writes := c.encodeBatch(batch)
	resp, err := c.Table.Commit(ctx, writes)
	if err != nil {
		c.Health.RecordFailure()
		c.Log.Warn("committing claims failed", zap.Int("claims", len(batch)), zap.Error(err))
		pause.For(ctx, claimRetryDelay)
		c.retryFailed(batch)
		return
	}
	c.Health.RecordSuccess()
	c.reportOutcomes(batch, resp)
}

// encodeBatch returns the claims that can be encoded, and their writes in the
// same order. It emits a failure for each of the others.
func (c *Claims) encodeBatch(batch []*pendingClaim) ([]*pendingClaim, []*tablepb.Write) {
	var kept []*pendingClaim
	var writes []*tablepb.Write
	for _, w := range batch {
		write, err := encodeWrite(claimKey(w.Key), w.IfVersion, w.Row)
		if err != nil {
			c.Log.Error("encoding a claim row failed", zap.String("team", w.Key.Team), zap.String("job", w.Key.ID), zap.Error(err))
			c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
			continue
		}
		kept = append(kept, w)
		writes = append(writes, write)
	}
	return kept, writes
}

// retryFailed queues the claims of a failed commit again. The commit may have been
// applied; a retry then finds a row with the claim's own token.
func (c *Claims) retryFailed(batch []*pendingClaim) {
	for _, w := range batch {
		c.CountRetry(reason.TableAnswerLost)
		w.failedAttempts++
		if w.failedAttempts >= maxClaimAttempts {
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

// reportOutcomes emits the outcome of each claim of a commit that got a response.
// If any row conflicted, no row was written; the claims without a conflict are
// queued again.
func (c *Claims) reportOutcomes(batch []*pendingClaim, resp *tablepb.CommitResponse) {
	if resp.Committed {
		for i, w := range batch {
			c.Emit(caller.ClaimWritten{Key: w.Key, Token: w.Row.Token, Version: resp.Versions[i]})
		}
		return
	}
	found := indexRowsByKey(resp.Conflicts)
	for _, w := range batch {
		row := found[claimKey(w.Key)]
		if row == nil {
			c.requeue(w)
			continue
		}
		c.Emit(conflictOutcome(w, row))
	}
}

// requeue queues a claim again after a conflict of another claim in its batch.
func (c *Claims) requeue(w *pendingClaim) {
	c.CountRetry(reason.TableConflict)
	select {
	case c.writes <- w:
	default:
		c.Emit(caller.ClaimFailed{Key: w.Key, Token: w.Row.Token})
	}
}

// conflictOutcome returns the outcome of a claim that conflicted with row. A row
// with the claim's own token means that an earlier attempt was applied.
func conflictOutcome(w *pendingClaim, row *tablepb.Row) caller.Event {
	var current wirepb.ClaimRow
	if row.Version == 0 || proto.Unmarshal(row.Value, &current) != nil {
		return caller.ClaimFailed{Key: w.Key, Token: w.Row.Token}
	}
	if current.Token == w.Row.Token {
		return caller.ClaimWritten{Key: w.Key, Token: current.Token, Version: row.Version}
	}
	return caller.ClaimFound{Key: w.Key, Token: w.Row.Token, Row: &current, Version: row.Version}
}

// ServeReads processes the queued reads of claim rows in batches until ctx ends.
func (c *Claims) ServeReads(ctx context.Context) error {
	for {
		var batch []caller.Key
		select {
		case key := <-c.reads:
			batch = append(batch, key)
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(batch) < maxBatchSize && len(c.reads) > 0 {
			batch = append(batch, <-c.reads)
		}
		c.readBatch(ctx, batch)
	}
}

func (c *Claims) readBatch(ctx context.Context, batch []caller.Key) {
	keys := make([]string, len(batch))
	for i, key := range batch {
		keys[i] = claimKey(key)
	}
	found, err := readRows(ctx, c.Table, keys...)
	if err != nil {
		c.Health.RecordFailure()
	}
	for _, key := range batch {
		c.Emit(readOutcome(key, found, err))
	}
}

// readOutcome returns the outcome of the read of one claim row. The argument err
// is the error of the whole batch.
func readOutcome(key caller.Key, found rowsByKey, err error) caller.Event {
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
