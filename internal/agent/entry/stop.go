package entry

import "time"

// Drained reports whether the agent is stopping, no task is left, and every entry
// has confirmed the latest status sent to it. Such an entry knows the outcome of all
// its tasks and sends no further starts, and what it sent before has arrived, since
// a link keeps the order of messages.
func (s *State) Drained() bool {
	if !s.stopping || !s.Idle() {
		return false
	}
	for _, l := range s.openLinks {
		if !s.confirmed(l) {
			return false
		}
	}
	return true
}

// confirmed reports whether the entry of a link has received the latest status.
func (s *State) confirmed(l *link) bool {
	return !l.reportedOpen && s.echoedStamps[l.entry] >= l.statusStamp
}

// confirmStop requests an echo over the links whose entry has not confirmed the
// latest status of a stopping agent.
func (s *State) confirmStop(now time.Duration) {
	if !s.stopping || !s.Idle() {
		return
	}
	for _, l := range s.openLinks {
		if !s.confirmed(l) && now-l.lastProbe >= probeInterval {
			l.lastProbe = now
			s.pendingMessage(l).Probe = true
		}
	}
}
