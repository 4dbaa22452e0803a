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
	// ownerUnreachableTimeout is how long a job's owner may be unreachable before
	// the job is taken over.
	ownerUnreachableTimeout = 1200 * time.Millisecond
	// awaitRetryDelay is the delay after a failed call to an owner.
	awaitRetryDelay = 50 * time.Millisecond
	// syncTimeout bounds the Sync calls to all other entries together.
	syncTimeout = 700 * time.Millisecond
)

// errOtherIncarnation is returned if the process at the entry's address is not
// the expected incarnation.
var errOtherIncarnation = errors.New("another incarnation of the entry answers at the address")

// Client calls the EntryPeer service of other entries.
type Client struct {
	Incarnation string
	Directory   *platform.Directory
	HTTP        *http.Client
	Log         *zap.Logger
	Emit        func(caller.Event)
}

// AwaitAnswer waits for the answer of a job at its owner, after cancelling the
// job if act.Cancel is set, and emits it as caller.OwnerAnswered. It emits
// caller.OwnerGone instead if the owner has been replaced, has no row, does not
// hold the job, refuses connections, or is unreachable for longer than
// ownerUnreachableTimeout.
func (c *Client) AwaitAnswer(ctx context.Context, act caller.AwaitOwner) {
	mode := wirepb.AwaitMode_AWAIT_MODE_UNSPECIFIED
	if act.Cancel {
		mode = wirepb.AwaitMode_AWAIT_MODE_CANCEL
	}
	lastContact := time.Now()
	for ctx.Err() == nil {
		callStart := time.Now()
		resp, err := c.callAwait(ctx, act.Owner, &wirepb.AwaitRequest{
			Team:   act.Key.Team,
			JobId:  act.Key.ID,
			Digest: act.Digest[:],
			Mode:   mode,
			Owner:  act.Owner,
		})
		if err == nil && resp != nil && resp.Known {
			c.Emit(caller.OwnerAnswered{Key: act.Key, Answer: decodeAnswer(resp)})
			return
		}
		if err == nil || errors.Is(err, errOtherIncarnation) {
			c.Emit(caller.OwnerGone{Key: act.Key})
			return
		}
		if time.Since(callStart) > 2*ownerUnreachableTimeout {
			// The health checks of the connection end a call soon after the owner
			// stops responding. A call that lasted this long therefore shows that
			// the owner was reachable until shortly before the call failed.
			lastContact = time.Now()
		}
		if time.Since(lastContact) > ownerUnreachableTimeout || errors.Is(err, syscall.ECONNREFUSED) {
			c.Log.Info("job owner is unreachable, treating it as gone", zap.String("owner", act.Owner), zap.String("team", act.Key.Team), zap.String("job", act.Key.ID), zap.Error(err))
			c.Emit(caller.OwnerGone{Key: act.Key})
			return
		}
		pause.For(ctx, awaitRetryDelay)
	}
}

// callAwait calls Await at an entry incarnation. It returns nil without an error
// if the incarnation has no row in the directory any more.
func (c *Client) callAwait(ctx context.Context, owner string, req *wirepb.AwaitRequest) (*wirepb.AwaitResponse, error) {
	peer, ok, err := c.Directory.Find(ctx, owner)
	if err != nil {
		return nil, fmt.Errorf("look up entry %s: %w", owner, err)
	}
	if !ok {
		return nil, nil
	}
	resp, err := c.clientFor(peer).Await(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("await call to entry %s: %w", owner, err)
	}
	if resp.Msg.Incarnation != owner {
		return nil, errOtherIncarnation
	}
	return resp.Msg, nil
}

// QueryJob returns the status of a job at its owner, another entry. Depending on
// the mode, the owner cancels the job first. QueryJob returns nil if the owner has
// no row or does not hold the job.
func (c *Client) QueryJob(ctx context.Context, owner string, key caller.Key, mode wirepb.AwaitMode) (*JobStatus, error) {
	resp, err := c.callAwait(ctx, owner, &wirepb.AwaitRequest{Team: key.Team, JobId: key.ID, Mode: mode, Owner: owner})
	if err != nil || resp == nil || !resp.Known {
		return nil, err
	}
	return &JobStatus{Progress: resp.Progress, Finished: resp.Finished, Answer: decodeAnswer(resp)}, nil
}

// JobStatus is the status of a job at its owner.
type JobStatus struct {
	Progress *wirepb.JobProgress
	Finished bool
	Answer   caller.Answer
}

// Sync returns the newest configuration version at the other live entries, their
// sections that are newer than version, and whether all of them answered. An
// entry that refuses the connection counts as having answered: its process has
// ended, so that it can't accept an edit.
func (c *Client) Sync(ctx context.Context, version uint64) (newest uint64, sections []*wirepb.SectionRow, allAnswered bool) {
	allAnswered = true
	for _, report := range c.FetchConfigReports(ctx, version, false) {
		if report.Err != nil {
			allAnswered = allAnswered && errors.Is(report.Err, syscall.ECONNREFUSED)
			continue
		}
		newest = max(newest, report.Version)
		sections = append(sections, report.Sections...)
	}
	return newest, sections, allAnswered
}

// ConfigReport is the configuration that one entry reported, or the error of the
// call.
type ConfigReport struct {
	Peer     platform.Peer
	Version  uint64
	Sections []*wirepb.SectionRow
	Agents   []*wirepb.ProcessVersion // versions at its agents, if requested
	Err      error
}

// FetchConfigReports calls Sync at every other reachable entry concurrently and
// returns one report for each. The reports contain the sections that are newer
// than version and, if agents is set, the versions at the agents.
func (c *Client) FetchConfigReports(ctx context.Context, version uint64, agents bool) []ConfigReport {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	peers := c.Directory.Reachable()
	reports := make([]ConfigReport, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() {
			reports[i] = c.fetchConfigReport(ctx, p, version, agents)
		})
	}
	calls.Wait()
	return reports
}

func (c *Client) fetchConfigReport(ctx context.Context, p platform.Peer, version uint64, agents bool) ConfigReport {
	resp, err := c.clientFor(p).Sync(ctx, connect.NewRequest(&wirepb.SyncRequest{
		Incarnation: c.Incarnation,
		Version:     version,
		Agents:      agents,
	}))
	if err != nil {
		return ConfigReport{Peer: p, Err: fmt.Errorf("sync call to entry %s: %w", p.Incarnation, err)}
	}
	return ConfigReport{
		Peer:     p,
		Version:  resp.Msg.Version,
		Sections: resp.Msg.Sections,
		Agents:   resp.Msg.Agents,
	}
}

func (c *Client) clientFor(p platform.Peer) wirepb.EntryPeerClient {
	return wirepb.NewEntryPeerClient(c.HTTP, "http://"+p.Address)
}
