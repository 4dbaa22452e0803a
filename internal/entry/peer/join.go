package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
)

const (
	// joinTimeout bounds one Join call to another entry.
	joinTimeout = 500 * time.Millisecond
	// initialJoinRetryDelay is the delay before an entry that did not answer is
	// called again. It doubles up to maxJoinRetryDelay, because the process at a
	// seed address may have ended permanently.
	initialJoinRetryDelay = 250 * time.Millisecond
	maxJoinRetryDelay     = 16 * time.Second
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

// Serve calls Join once at each entry that the directory lists, until ctx ends.
// Failed calls are retried.
func (j *Joiner) Serve(ctx context.Context) error {
	j.initOnce.Do(j.init)
	joined := map[string]bool{} // entries that have answered, by peerKey and by incarnation
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
		if j.joinPending(ctx, joined) {
			continue
		}
		retryTimer.Reset(retryDelay)
		retryDelay = min(2*retryDelay, maxJoinRetryDelay)
	}
}

// joinPending calls the reachable entries that have not answered yet, adds those
// that answer to joined, and reports whether all have answered.
func (j *Joiner) joinPending(ctx context.Context, joined map[string]bool) bool {
	var pending []platform.Peer
	for _, p := range j.Client.Directory.Reachable() {
		if !joined[peerKey(p)] {
			pending = append(pending, p)
		}
	}
	answered := make([]string, len(pending)) // incarnation that answered each call; "" if it failed
	var calls sync.WaitGroup
	for i, p := range pending {
		calls.Go(func() { answered[i] = j.join(ctx, p) })
	}
	calls.Wait()
	allJoined := true
	for i, p := range pending {
		if answered[i] == "" {
			allJoined = false
			continue
		}
		joined[peerKey(p)] = true
		joined[answered[i]] = true
	}
	return allJoined
}

// peerKey returns the key of a peer in the map of joined entries: its incarnation,
// or the address of a seed, whose Peer has no incarnation.
func peerKey(p platform.Peer) string {
	if p.Incarnation != "" {
		return p.Incarnation
	}
	return p.Address
}

// join calls Join at a peer and adds the agents that it returns. It returns the
// incarnation that answered, or "" if the call failed.
func (j *Joiner) join(ctx context.Context, p platform.Peer) string {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := j.Client.Directory.Self
	resp, err := j.Client.clientFor(p).Join(ctx, connect.NewRequest(&wirepb.JoinRequest{Entry: self.Row()}))
	if err != nil {
		j.Client.Log.Info("join call to entry failed", zap.String("entry", p.Incarnation), zap.String("address", p.Address), zap.Error(err))
		return ""
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
	return resp.Msg.Incarnation
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
