package entry

import (
	"math"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// never is a clock reading earlier than any other.
const never = time.Duration(math.MinInt64 / 2)

// configView is the newest configuration version that an entry has sent, and
// the time at which that version was last confirmed to be current. The version
// never decreases.
type configView struct {
	version  uint64
	received bool // whether any version has been received
	// inService reports whether the version lets this agent start tasks.
	inService bool
	// confirmedAt is a reading of the agent's own clock. At that time the table
	// service held no version that takes the agent out of service.
	confirmedAt time.Duration
}

// with returns the view updated by an entry's message. A confirmation is dated
// by the echoed stamp less the age that the confirmation had at the entry. A
// message that was delayed in transit, or read after a pause, therefore does not
// make the confirmation look recent.
//
// A confirmation of an older version counts if both versions let the agent start
// tasks. In the table service the older version was current at the time of the
// confirmation, which then precedes the newer one. In a source outside of the
// table, entries that read the same document at different times give it different
// versions.
func (v configView) with(m *wirepb.View) configView {
	if m.Version < v.version && !(m.Open && v.inService) {
		return v
	}
	if !v.received || m.Version > v.version {
		if !v.inService {
			v.confirmedAt = never
		}
		v.received = true
		v.version = m.Version
		v.inService = m.Open
	}
	if m.Confirmed && m.Echo > 0 {
		at := time.Duration(m.Echo) - time.Duration(m.AgeMs)*time.Millisecond
		v.confirmedAt = max(v.confirmedAt, at)
	}
	return v
}

// allowsStarts reports whether tasks may start at clock reading now.
func (v configView) allowsStarts(now time.Duration) bool {
	return v.inService && now-v.confirmedAt <= viewTTL
}
