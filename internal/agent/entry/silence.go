package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// The repeatable tasks of an entry are stopped when the entry is lost, so that
// its callers may submit their jobs again elsewhere. What counts is the latest
// stamp that the entry echoed: a message that waited in a buffer while this
// host was paused echoes an old one and keeps nothing running.

// echoed notes the latest stamp that an entry has echoed.
func (s *State) echoed(entry string, v *wirepb.View) {
	if v.Echo > 0 {
		s.echoes[entry] = max(s.echoes[entry], time.Duration(v.Echo))
	}
}

// watches reports whether a task is stopped when its sender is lost.
func (s *State) watches(r *record) bool { return r.repeatable && s.opts.EntrySilence > 0 }

// vouched reports whether the sender of a task was heard of lately.
func (s *State) vouched(now time.Duration, r *record) bool {
	return !s.watches(r) || s.vouchedFor(now, r.sender)
}

func (s *State) vouchedFor(now time.Duration, entry string) bool {
	return s.opts.EntrySilence == 0 || now-s.echoes[entry] <= s.opts.EntrySilence
}

// stopSilent stops the tasks of entries that have fallen silent, and refuses
// those that wait: the entry may have placed them elsewhere since, so that they
// must not begin when it is heard of again.
func (s *State) stopSilent(now time.Duration) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if s.vouched(now, r) {
			kept = append(kept, r)
			continue
		}
		s.refuseQueued(r, reason.EntrySilent)
	}
	s.queue = kept
	for r := range s.runs {
		if !r.aborted && !s.vouched(now, r) {
			s.out = append(s.out, Refused{Ref: r.ref, Reason: reason.EntrySilent})
			s.abort(r)
		}
	}
	for entry, at := range s.echoes {
		if now-at > forgetEcho && s.byEntry[entry] == nil {
			delete(s.echoes, entry)
		}
	}
}

// forgetEcho is how long the stamp of an entry without a link is kept. It is
// far above the silence after which tasks stop.
const forgetEcho = time.Minute
