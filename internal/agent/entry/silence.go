package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// The repeatable tasks of an entry are stopped when the entry falls silent, so
// that its callers can submit their jobs again elsewhere. Every message to an
// entry carries a stamp, which is a reading of the agent's clock, and the entry
// echoes the latest one. An entry counts as silent by the age of its latest
// echo, not by the arrival of messages: a message that waited in a buffer while
// this host was paused echoes an old stamp and keeps no task running.

// recordEcho records the latest stamp that an entry has echoed.
func (s *State) recordEcho(entry string, v *wirepb.View) {
	if v.Echo > 0 {
		s.echoedStamps[entry] = max(s.echoedStamps[entry], time.Duration(v.Echo))
	}
}

// EachEcho calls f with the latest stamp that each entry has echoed.
func (s *State) EachEcho(f func(entry string, stamp time.Duration)) {
	for entry, stamp := range s.echoedStamps {
		f(entry, stamp)
	}
}

// stopsOnSilence reports whether the task is stopped when its sender falls
// silent.
func (s *State) stopsOnSilence(r *taskRecord) bool {
	return r.repeatable && s.opts.EntrySilenceTimeout > 0
}

// senderActive reports whether the sender of a task is active. It is always
// true for a task that does not stop on silence.
func (s *State) senderActive(now time.Duration, r *taskRecord) bool {
	return !s.stopsOnSilence(r) || s.entryActive(now, r.sender)
}

// entryActive reports whether the latest stamp that the entry has echoed is at
// most the silence timeout old, or the timeout is off.
func (s *State) entryActive(now time.Duration, entry string) bool {
	return s.opts.EntrySilenceTimeout == 0 || now-s.echoedStamps[entry] <= s.opts.EntrySilenceTimeout
}

// stopTasksOfSilentEntries stops the running tasks of silent entries and
// refuses their queued ones. The entry may have placed the tasks elsewhere in
// the meantime, so they must not start when its messages resume.
func (s *State) stopTasksOfSilentEntries(now time.Duration) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if s.senderActive(now, r) {
			kept = append(kept, r)
			continue
		}
		s.refuseQueued(r, reason.EntrySilent)
	}
	s.queue = kept
	for _, r := range s.runningTasks {
		if !r.cancelled && !s.senderActive(now, r) {
			s.actions = append(s.actions, RecordRefusal{Ref: r.ref, Reason: reason.EntrySilent})
			s.cancelTask(r, reason.EntrySilent)
		}
	}
	for entry, at := range s.echoedStamps {
		if now-at > echoRetention && s.byEntry[entry] == nil {
			delete(s.echoedStamps, entry)
		}
	}
}

// echoRetention is how long the stamp of an entry without a link is kept. It is
// far longer than the silence timeout.
const echoRetention = time.Minute
