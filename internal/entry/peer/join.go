package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// joinTimeout bounds one Join call to another entry.
	joinTimeout = 500 * time.Millisecond
	// initialJoinRetryDelay is the delay before an entry that did not answer is
	// called again. It doubles up to maxJoinRetryDelay, because the process at a
	// seed address may have ended permanently.
	initialJoinRetryDelay = 250 * time.Millisecond
	maxJoinRetryDelay     = 16 * time.Second
	// joinBatch is how many entries are called at once, and joinBatchInterval the
	// time between two batches. When all hosts start at once, the calls of all
	// entries to all others would delay the first jobs.
	joinBatch         = 4
	joinBatchInterval = 300 * time.Millisecond
)

// Joiner calls Join at each other entry as soon as the directory lists it. The
// call adds this entry to the directory of the other and returns the agents that
// the other is linked to, and the entries that it knows, which are called next.
// Without it, a new entry gets agents only after the other entries have read its
// row and agents have requested the list of entries from them.
type Joiner struct {
	Client *Client
	// AddAgent adds or updates an agent that another entry returned.
	AddAgent func(context.Context, *wirepb.AgentInfo)

	initOnce sync.Once
	wakeups  chan struct{} // holds at most one pending wake-up
}

// Wake makes Serve check the directory for entries that have not answered yet.
func (j *Joiner) Wake() {
	j.initOnce.Do(j.init)
	select {
	case j.wakeups <- struct{}{}:
	default:
	}
}

func (j *Joiner) init() { j.wakeups = make(chan struct{}, 1) }

// Serve calls Join once at the address of each entry that the directory lists,
// until ctx ends. Failed calls are retried. An entry that restarts at its address
// calls the others itself.
func (j *Joiner) Serve(ctx context.Context) error {
	j.initOnce.Do(j.init)
	joined := map[string]bool{} // addresses at which an entry has answered
	retryDelay := initialJoinRetryDelay
	retryTimer := time.NewTimer(0)
	defer retryTimer.Stop()
	for {
		select {
		case <-j.wakeups:
			retryDelay = initialJoinRetryDelay
		case <-retryTimer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		for batch := range slices.Chunk(j.pending(joined), joinBatch) {
			j.joinAll(ctx, batch, joined)
			if len(batch) == joinBatch {
				pause.For(ctx, joinBatchInterval)
			}
		}
		if len(j.pending(joined)) > 0 {
			retryTimer.Reset(retryDelay)
			retryDelay = min(2*retryDelay, maxJoinRetryDelay)
		}
	}
}

// pending returns the other entries at whose addresses no call has succeeded yet,
// one for each address. The directory may list earlier processes at this entry's
// own address.
func (j *Joiner) pending(joined map[string]bool) []platform.Peer {
	var pending []platform.Peer
	for _, p := range j.Client.Directory.Reachable() {
		known := slices.ContainsFunc(pending, func(o platform.Peer) bool { return o.Address == p.Address })
		if !joined[p.Address] && !known && p.Address != j.Client.Directory.Self.Address {
			pending = append(pending, p)
		}
	}
	return pending
}

// joinAll calls the given entries and adds the addresses of those that answer to
// joined.
func (j *Joiner) joinAll(ctx context.Context, peers []platform.Peer, joined map[string]bool) {
	answered := make([]bool, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() { answered[i] = j.join(ctx, p) })
	}
	calls.Wait()
	for i, p := range peers {
		if answered[i] {
			joined[p.Address] = true
		}
	}
}

// join calls Join at a peer, adds the entries and agents that it returns, and
// reports whether the call succeeded.
func (j *Joiner) join(ctx context.Context, p platform.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := j.Client.Directory.Self
	resp, err := j.Client.clientFor(p).Join(ctx, connect.NewRequest(&wirepb.JoinRequest{Entry: self.Row()}))
	if err != nil {
		j.Client.Log.Info("join call to entry failed", zap.String("entry", p.Incarnation), zap.String("address", p.Address), zap.Error(err))
		return false
	}
	for _, row := range resp.Msg.Entries {
		j.Client.Directory.AddAnnounced(row)
	}
	agents := agentsSelecting(j.Client.Directory, self.Address, resp.Msg.Agents)
	j.Client.Log.Info("join call to entry succeeded", zap.String("entry", resp.Msg.Incarnation),
		zap.Int("entries", len(resp.Msg.Entries)), zap.Int("agents", len(agents)))
	for _, info := range agents {
		j.AddAgent(ctx, info)
	}
	return true
}

// agentsSelecting returns those of the agents that select the entry with the given
// peer address once they know of it, according to the entries in the directory.
func agentsSelecting(d *platform.Directory, address string, agents []*wirepb.AgentInfo) []*wirepb.AgentInfo {
	var entries []rendezvous.Entry
	for _, p := range d.RegionEntries() {
		entries = append(entries, rendezvous.Entry{Address: p.Address, Zone: p.Zone})
	}
	var selecting []*wirepb.AgentInfo
	for _, info := range agents {
		if rendezvous.IsHome(info.Address, address, entries) {
			selecting = append(selecting, info)
		}
	}
	return selecting
}
