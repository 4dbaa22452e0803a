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
	// rosterRetry is the delay before a roster is written or read again.
	rosterRetry = 100 * time.Millisecond
	// rosterTries bounds the reads of the rosters of one take-over.
	rosterTries = 5
)

// Rosters writes this entry's roster and reads those of others.
type Rosters struct {
	Table       Table
	Incarnation string
	Log         *zap.Logger
	Emit        func(caller.Event)

	version uint64 // of this entry's row, as of the last answer
}

// Write writes this entry's roster and returns once that is known to have
// worked or ctx ends. One call runs at a time.
func (r *Rosters) Write(ctx context.Context, w caller.WriteRoster) {
	key := rosterKey(r.Incarnation)
	for ctx.Err() == nil {
		row, err := write(key, r.version, &wirepb.RosterRow{Agents: w.Agents})
		if err != nil {
			r.Log.Error("roster can't be written", zap.Error(err))
			return
		}
		resp, err := r.Table.Commit(ctx, []*tablepb.Write{row})
		switch {
		case err != nil:
			r.Log.Warn("roster not written", zap.Error(err))
			pause.For(ctx, rosterRetry)
		case resp.Committed:
			r.version = resp.Versions[0]
			r.Emit(caller.RosterWritten{Write: w.Write})
			return
		default:
			// An earlier write was applied although its answer was lost.
			r.version = resp.Conflicts[0].Version
		}
	}
}

// Read reads the rosters of entry incarnations. An entry without a row has
// used no agent.
func (r *Rosters) Read(ctx context.Context, a caller.ReadRosters) {
	keys := make([]string, len(a.Owners))
	for i, owner := range a.Owners {
		keys[i] = rosterKey(owner)
	}
	for range rosterTries {
		found, err := readRows(ctx, r.Table, keys...)
		if err != nil {
			pause.For(ctx, rosterRetry)
			continue
		}
		agents, err := union(found, keys)
		if err != nil {
			r.Log.Error("roster can't be read", zap.Error(err))
			break
		}
		r.Emit(caller.RostersRead{Key: a.Key, Agents: agents})
		return
	}
	r.Emit(caller.ClaimFailed{Key: a.Key})
}

func union(found rows, keys []string) ([]*wirepb.RosterAgent, error) {
	seen := map[string]bool{}
	var agents []*wirepb.RosterAgent
	for _, key := range keys {
		var row wirepb.RosterRow
		if _, err := found.decode(key, &row); err != nil {
			return nil, err
		}
		for _, a := range row.Agents {
			if !seen[a.Incarnation] {
				seen[a.Incarnation] = true
				agents = append(agents, a)
			}
		}
	}
	return agents, nil
}

func rosterKey(incarnation string) string { return "roster/" + incarnation }
