package platform

import (
	"sync"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// failureThreshold is how many calls have to fail in a row before the service
// counts as unavailable.
const failureThreshold = 3

// Health records whether the table service is available, by the results of calls.
// The service counts as unavailable until the first call succeeds.
type Health struct {
	// Emit receives a TableAvailability at each change.
	Emit func(caller.Event)

	mu                  sync.Mutex
	available           bool
	consecutiveFailures int
}

// RecordSuccess records that a call got a response.
func (h *Health) RecordSuccess() { h.record(true) }

// RecordFailure records that a call failed.
func (h *Health) RecordFailure() { h.record(false) }

// Available reports whether the service counts as available.
func (h *Health) Available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.available
}

func (h *Health) record(success bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasAvailable := h.available
	if success {
		h.consecutiveFailures = 0
		h.available = true
	} else {
		h.consecutiveFailures++
		h.available = h.available && h.consecutiveFailures < failureThreshold
	}
	if h.available != wasAvailable {
		h.Emit(caller.TableAvailability{Available: h.available})
	}
}
