package entry

import (
	"math"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// never is a clock reading before every other.
const never = time.Duration(math.MinInt64 / 2)

// view is the newest configuration version that an entry told the agent of,
// and when that version was last known to be current. Versions only rise.
type view struct {
	version uint64
	known   bool
	open    bool
	// confirmed is a reading of the agent's own clock: at that time the
	// table service held no version that closes the agent.
	confirmed time.Duration
}

// with returns the view after an entry's message. A proof counts from the
// stamp that the entry echoes, less the age that it had at the entry: a
// message that was long under way, or was read after a pause, proves nothing
// recent.
func (v view) with(m *wirepb.View) view {
	if m.Version < v.version {
		return v
	}
	if !v.known || m.Version > v.version {
		if !v.open {
			v.confirmed = never
		}
		v.known = true
		v.version = m.Version
		v.open = m.Open
	}
	if m.Confirmed && m.Echo > 0 {
		at := time.Duration(m.Echo) - time.Duration(m.AgeMs)*time.Millisecond
		v.confirmed = max(v.confirmed, at)
	}
	return v
}

// fresh reports whether starts are allowed at clock reading now.
func (v view) fresh(now time.Duration) bool {
	return v.open && now-v.confirmed <= viewTTL
}
