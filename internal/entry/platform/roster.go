package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// rosterRetryDelay is the delay before a failed write or read of rosters is
	// retried.
	rosterRetryDelay = 100 * time.Millisecond
	// maxRosterReads bounds the attempts to read the rosters for one take-over of
	// a job.
	maxRosterReads = 5
)

// Rosters writes this entry's roster, which lists the agents that it uses, and
// reads those of other entries.
type Rosters struct {
	Table       Table
	Incarnation string
	Log         *zap.Logger
	Emit        func(caller.Event)

	rowVersion uint64 // of this entry's row, according to the last response
}

// Write writes this entry's roster and returns once the write is confirmed or ctx
// ends. It must not be called concurrently.
func (r *Rosters) Write(ctx context.Context, w caller.WriteRoster) {
	key := rosterKey(r.Incarnation)
	for ctx.Err() == nil {
		write, err := encodeWrite(key, r.rowVersion, &wirepb.RosterRow{Agents: w.Agents})
		if err != nil {
			r.Log.Error("encoding the roster row failed", zap.Error(err))
			return
		}
		resp, err := r.Table.Commit(ctx, []*tablepb.Write{write})
		switch {
		case err != nil:
			r.Log.Warn("writing the roster failed", zap.Error(err))
			pause.For(ctx, rosterRetryDelay)
		case resp.Committed:
			r.rowVersion = resp.Versions[0]
			r.Emit(caller.RosterWritten{WriteNumber: w.WriteNumber})
			return
		default:
			// An earlier write was applied although its response was lost.
			r.rowVersion = resp.Conflicts[0].Version
		}
	}
}

// Read reads the rosters of the owners in a request, which are entry incarnations,
// and emits the agents listed in them. An owner without a row has used no agent.
func (r *Rosters) Read(ctx context.Context, request caller.ReadRosters) {
	keys := make([]string, len(request.Owners))
	for i, owner := range request.Owners {
		keys[i] = rosterKey(owner)
	}
	for range maxRosterReads {
		found, err := readRows(ctx, r.Table, keys...)
		if err != nil {
			pause.For(ctx, rosterRetryDelay)
			continue
		}
		agents, err := mergeAgents(found, keys)
		if err != nil {
			r.Log.Error("decoding a roster row failed", zap.Error(err))
			break
		}
		r.Emit(caller.RostersRead{Key: request.Key, Agents: agents})
		return
	}
	r.Emit(caller.ClaimFailed{Key: request.Key})
}

// mergeAgents returns the agents of the rosters with the given keys, each
// incarnation once.
func mergeAgents(found rowsByKey, keys []string) ([]*wirepb.RosterAgent, error) {
	added := map[string]bool{}
	var agents []*wirepb.RosterAgent
	for _, key := range keys {
		var row wirepb.RosterRow
		if _, err := found.decode(key, &row); err != nil {
			return nil, err
		}
		for _, a := range row.Agents {
			if !added[a.Incarnation] {
				added[a.Incarnation] = true
				agents = append(agents, a)
			}
		}
	}
	return agents, nil
}

func rosterKey(incarnation string) string { return "roster/" + incarnation }
