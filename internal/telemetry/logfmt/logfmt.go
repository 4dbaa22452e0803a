// Package logfmt creates the loggers of the system, which write one line of
// key=value pairs for each event.
package logfmt

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Lines are sampled by event: in each second the first sampleFirstPerSecond
// lines of an event are written, and one in sampleThereafter of the others.
const (
	sampleFirstPerSecond = 500
	sampleThereafter     = 100
)

// New returns a logger that writes events of level and above to w. Every line
// carries the role and the id of the process.
func New(w io.Writer, level zapcore.Level, role, id string) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirstPerSecond, sampleThereafter)
	return zap.New(core).With(zap.String("role", role), zap.String("id", id))
}
