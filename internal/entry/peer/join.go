package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

const (
	// joinTimeout bounds one call to another entry.
	joinTimeout = 500 * time.Millisecond
	// joinRetry is the delay before an entry that did not answer is called again.
	// It doubles up to maxJoinRetry, since seeds may be dead for good.
	joinRetry    = 250 * time.Millisecond
	maxJoinRetry = 16 * time.Second
)

// Joiner makes this entry known to each other entry as soon as it hears of it,
// and takes over the agents that the other knows. Without it an entry that
// replaces a lost one waits until others read its row, and agents ask them.
type Joiner struct {
	Client *Client
	// Announce takes an agent that another entry knows.
	Announce func(context.Context, *wirepb.AgentInfo)

	once  sync.Once
	heard chan struct{}
}

// Heard says that there may be entries that were not called yet.
func (j *Joiner) Heard() {
	j.once.Do(j.init)
	select {
	case j.heard <- struct{}{}:
	default:
	}
}

func (j *Joiner) init() { j.heard = make(chan struct{}, 1) }

// Serve calls the entries that the directory comes to know until ctx ends.
func (j *Joiner) Serve(ctx context.Context) error {
	j.once.Do(j.init)
	joined := map[string]bool{} // by incarnation and by address
	delay := joinRetry
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-j.heard:
			delay = joinRetry
		case <-retry.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if j.callAll(ctx, joined) {
			continue
		}
		retry.Reset(delay)
		delay = min(2*delay, maxJoinRetry)
	}
}

// callAll calls the entries that have not answered yet, and reports whether all
// have now.
func (j *Joiner) callAll(ctx context.Context, joined map[string]bool) bool {
	var due []platform.Peer
	for _, p := range j.Client.Directory.Reachable() {
		if !joined[nameOf(p)] {
			due = append(due, p)
		}
	}
	answered := make([]string, len(due)) // incarnations; "" without an answer
	var calls sync.WaitGroup
	for i, p := range due {
		calls.Go(func() { answered[i] = j.call(ctx, p) })
	}
	calls.Wait()
	all := true
	for i, p := range due {
		if answered[i] == "" {
			all = false
			continue
		}
		joined[nameOf(p)] = true
		joined[answered[i]] = true
	}
	return all
}

// nameOf returns what tells a peer from others; seeds have an address only.
func nameOf(p platform.Peer) string {
	if p.Incarnation != "" {
		return p.Incarnation
	}
	return p.Address
}

// call returns the incarnation that answered, or "".
func (j *Joiner) call(ctx context.Context, p platform.Peer) string {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := j.Client.Directory.Self
	resp, err := j.Client.rpc(p).Join(ctx, connect.NewRequest(&wirepb.JoinRequest{Entry: self.Row()}))
	if err != nil {
		j.Client.Log.Info("entry not joined", zap.String("entry", p.Incarnation), zap.String("address", p.Address), zap.Error(err))
		return ""
	}
	j.Client.Log.Info("entry joined", zap.String("entry", resp.Msg.Incarnation), zap.Int("agents", len(resp.Msg.Agents)))
	for _, info := range resp.Msg.Agents {
		j.Announce(ctx, info)
	}
	return resp.Msg.Incarnation
}
