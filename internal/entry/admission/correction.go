package admission

import (
	"math"
	"time"
)

const (
	// correctionWeight is the weight of the latest wait in a Correction.
	correctionWeight = 0.05
	// correctionHalfLife is how fast a Correction fades without new waits. Demand
	// changes by half within 17 s.
	correctionHalfLife = 3 * time.Second
	// maxCorrection bounds the factor of a Correction, and its inverse: from a tenth
	// of the room of others to all of it is a factor of about 5 to either side of
	// the assumed half.
	maxCorrection = 5
	// waitNoise is added to both waits before they are compared. Messages to an agent
	// and back take as long, so smaller waits say nothing.
	waitNoise = 20 * time.Millisecond
)

// Correction is the moving average of observed waits divided by expected ones, as a
// logarithm. It corrects what the entry can't know, such as the demand at other
// entries. The zero value corrects nothing.
type Correction struct {
	logRatio float64
	at       time.Duration
}

// With returns the correction after a job has waited, or is refused after having
// waited so long.
func (c Correction) With(now, expected, observed time.Duration) Correction {
	ratio := float64(observed+waitNoise) / float64(expected+waitNoise)
	limit := math.Log(maxCorrection)
	faded := c.fadedLog(now)
	// The expected wait was made without the correction, so the ratio is the
	// correction that would have been right.
	latest := max(-limit, min(limit, math.Log(ratio)))
	return Correction{logRatio: faded + correctionWeight*(latest-faded), at: now}
}

// Factor returns the factor for expected waits.
func (c Correction) Factor(now time.Duration) float64 { return math.Exp(c.fadedLog(now)) }

func (c Correction) fadedLog(now time.Duration) float64 {
	if c.logRatio == 0 {
		return 0
	}
	return c.logRatio * math.Exp2(-float64(now-c.at)/float64(correctionHalfLife))
}
