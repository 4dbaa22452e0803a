package platform

import (
	"sync"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// downAfter is how many calls in a row fail before the service counts as
// down.
const downAfter = 3

// Health is whether the table service answers. The zero value counts it as
// down until a call works.
type Health struct {
	// Emit takes each change.
	Emit func(caller.Event)

	mu     sync.Mutex
	up     bool
	failed int
}

// Worked notes that a call was answered.
func (h *Health) Worked() { h.note(true) }

// Failed notes that a call was not answered.
func (h *Health) Failed() { h.note(false) }

// Up reports whether the service answers.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

func (h *Health) note(worked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.up
	if worked {
		h.failed = 0
		h.up = true
	} else {
		h.failed++
		h.up = h.up && h.failed < downAfter
	}
	if h.up != was {
		h.Emit(caller.TableState{Up: h.up})
	}
}
