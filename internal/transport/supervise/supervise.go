// Package supervise creates the supervisor trees of the processes.
package supervise

import (
	"context"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// Func adapts a function to suture.Service. The supervisor calls it again if it
// returns before its context ends.
type Func func(ctx context.Context) error

// Serve runs the function.
func (f Func) Serve(ctx context.Context) error { return f(ctx) }

// New returns an empty supervisor that logs the events of its services. A panic
// is not recovered and ends the process, since the control state may be
// inconsistent afterwards. The restarted process has a new incarnation, by which
// its peers recognize that it has no state of the previous one.
func New(name string, log *zap.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		PassThroughPanics: true,
		EventHook:         func(e suture.Event) { log.Warn("supervisor event", zap.String("what", e.String())) },
	})
}
