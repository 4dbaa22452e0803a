package platform

import (
	"sync"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// failureThreshold is how many calls have to fail in a row before the service
// counts as down.
const failureThreshold = 3

// Health records whether the table service responds. The service counts as down
// until the first call succeeds.
type Health struct {
	// Emit receives each change between up and down.
	Emit func(caller.Event)

	mu                  sync.Mutex
	up                  bool
	consecutiveFailures int
}

// RecordSuccess records that a call got a response.
func (h *Health) RecordSuccess() { h.record(true) }

// RecordFailure records that a call failed.
func (h *Health) RecordFailure() { h.record(false) }

// Up reports whether the service counts as up.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

func (h *Health) record(success bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUp := h.up
	if success {
		h.consecutiveFailures = 0
		h.up = true
	} else {
		h.consecutiveFailures++
		h.up = h.up && h.consecutiveFailures < failureThreshold
	}
	if h.up != wasUp {
		h.Emit(caller.TableAvailability{Available: h.up})
	}
}
