// Package supervise makes the supervisor trees of the processes.
package supervise

import (
	"context"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// Func adapts a function to a supervised service. It runs again when it
// returns an error while its context goes on.
type Func func(ctx context.Context) error

// Serve runs the function.
func (f Func) Serve(ctx context.Context) error { return f(ctx) }

// New returns an empty tree that logs what happens to its services. A panic
// ends the process: its control state is lost with it, and a new run says by a
// new incarnation that it remembers nothing.
func New(name string, log *zap.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		PassThroughPanics: true,
		EventHook:         func(e suture.Event) { log.Warn("supervisor event", zap.String("what", e.String())) },
	})
}
