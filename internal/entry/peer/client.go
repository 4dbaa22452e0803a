package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// ownerTimeout is how long a job's owner may be out of reach before its
	// jobs are taken over.
	ownerTimeout = 1200 * time.Millisecond
	// askRetry is the delay before an owner is asked again.
	askRetry = 50 * time.Millisecond
	// syncTimeout bounds one round of questions to the other entries.
	syncTimeout = 700 * time.Millisecond
)

// errOtherIncarnation says that the entry asked for has been replaced.
var errOtherIncarnation = errors.New("another incarnation answers at the address")

// Client asks other entries.
type Client struct {
	Incarnation string
	Directory   *platform.Directory
	HTTP        *http.Client
	Log         *zap.Logger
	Emit        func(caller.Event)
}

// AskOwner waits for the owner's answer, or until the owner is known to be
// gone, not to know the job, or to have been out of reach for too long.
func (c *Client) AskOwner(ctx context.Context, a caller.AskOwner) {
	mode := wirepb.AwaitMode_AWAIT_MODE_UNSPECIFIED
	if a.Cancel {
		mode = wirepb.AwaitMode_AWAIT_MODE_CANCEL
	}
	reached := time.Now()
	for ctx.Err() == nil {
		began := time.Now()
		resp, err := c.ask(ctx, a.Owner, &wirepb.AwaitRequest{
			Team:   a.Key.Team,
			JobId:  a.Key.ID,
			Digest: a.Digest[:],
			Mode:   mode,
		})
		if err == nil && resp != nil && resp.Known {
			c.Emit(caller.OwnerAnswered{Key: a.Key, Answer: decode(resp)})
			return
		}
		if err == nil || errors.Is(err, errOtherIncarnation) {
			c.Emit(caller.OwnerGone{Key: a.Key})
			return
		}
		if time.Since(began) > 2*ownerTimeout {
			// A call that lasted was in touch until shortly before it failed.
			reached = time.Now()
		}
		if time.Since(reached) > ownerTimeout || errors.Is(err, syscall.ECONNREFUSED) {
			c.Log.Info("owner out of reach", zap.String("owner", a.Owner), zap.String("team", a.Key.Team), zap.String("job", a.Key.ID), zap.Error(err))
			c.Emit(caller.OwnerGone{Key: a.Key})
			return
		}
		pause.For(ctx, askRetry)
	}
}

// ask calls Await at an entry incarnation. It returns nothing for an entry
// that has no row any more.
func (c *Client) ask(ctx context.Context, owner string, req *wirepb.AwaitRequest) (*wirepb.AwaitResponse, error) {
	peer, ok, err := c.Directory.Find(ctx, owner)
	if err != nil {
		return nil, fmt.Errorf("find entry %s: %w", owner, err)
	}
	if !ok {
		return nil, nil
	}
	resp, err := c.rpc(peer).Await(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("ask entry %s: %w", owner, err)
	}
	if resp.Msg.Incarnation != owner {
		return nil, errOtherIncarnation
	}
	return resp.Msg, nil
}

// Locate looks up, or cancels, a job that another entry holds. It returns nil
// when the owner is gone or does not know the job.
func (c *Client) Locate(ctx context.Context, owner string, key caller.Key, mode wirepb.AwaitMode) (*Located, error) {
	resp, err := c.ask(ctx, owner, &wirepb.AwaitRequest{Team: key.Team, JobId: key.ID, Mode: mode})
	if err != nil || resp == nil || !resp.Known {
		return nil, err
	}
	return &Located{Progress: resp.Progress, Finished: resp.Finished, Answer: decode(resp)}, nil
}

// Located is the state of a job at its owner.
type Located struct {
	Progress *wirepb.JobProgress
	Finished bool
	Answer   caller.Answer
}

// Sync returns the sections newer than version that the other live entries
// hold, and whether all of them answered. An entry whose process has ended
// can't have accepted an edit since, and counts as having answered.
func (c *Client) Sync(ctx context.Context, version uint64) (newest uint64, sections []*wirepb.SectionRow, all bool) {
	all = true
	for _, v := range c.Views(ctx, version, false) {
		if v.Err != nil {
			all = all && errors.Is(v.Err, syscall.ECONNREFUSED)
			continue
		}
		newest = max(newest, v.Version)
		sections = append(sections, v.Sections...)
	}
	return newest, sections, all
}

// View is what one entry said of its configuration.
type View struct {
	Peer     platform.Peer
	Version  uint64
	Sections []*wirepb.SectionRow
	Agents   []*wirepb.ProcessVersion
	Err      error
}

// Views asks every other live entry at once.
func (c *Client) Views(ctx context.Context, version uint64, agents bool) []View {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	peers := c.Directory.Reachable()
	views := make([]View, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() {
			views[i] = c.view(ctx, p, version, agents)
		})
	}
	calls.Wait()
	return views
}

func (c *Client) view(ctx context.Context, p platform.Peer, version uint64, agents bool) View {
	resp, err := c.rpc(p).Sync(ctx, connect.NewRequest(&wirepb.SyncRequest{
		Incarnation: c.Incarnation,
		Version:     version,
		Agents:      agents,
	}))
	if err != nil {
		return View{Peer: p, Err: fmt.Errorf("ask entry %s: %w", p.Incarnation, err)}
	}
	return View{
		Peer:     p,
		Version:  resp.Msg.Version,
		Sections: resp.Msg.Sections,
		Agents:   resp.Msg.Agents,
	}
}

func (c *Client) rpc(p platform.Peer) wirepb.EntryPeerClient {
	return wirepb.NewEntryPeerClient(c.HTTP, "http://"+p.Address)
}
