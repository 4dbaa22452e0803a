package admission

import (
	"math"
	"time"
)

const (
	// guaranteedShare is the part of the work of each kind, and of the largest tenth
	// of it, that is admitted and goes first, however great the demand of others.
	guaranteedShare = 0.1
	// shareHalfLife is how fast earlier work loses its weight in a share. It covers a
	// swing of demand of 17 s, and some of the longest jobs of 3.6 s.
	shareHalfLife = 10 * time.Second
	// largeQuantile is the part of the jobs of a kind that aren't large.
	largeQuantile = 0.9
	// quantileStep is the relative change of the measured quantile with each job. It
	// follows a change by half within 100 jobs.
	quantileStep = 0.05
)

// Share is the work that was offered and admitted of a kind. The zero value has
// none.
type Share struct {
	offered, admitted float64
	at                time.Duration
}

// Offered returns the share with an offered job added.
func (s Share) Offered(now time.Duration, work float64) Share {
	s = s.faded(now)
	s.offered += work
	return s
}

// Admitted returns the share with an admitted job added, or removed if work is
// negative, because the job was refused without having begun.
func (s Share) Admitted(now time.Duration, work float64) Share {
	s = s.faded(now)
	s.admitted = max(0, s.admitted+work)
	return s
}

// Owed reports whether less than the guaranteed share was admitted.
func (s Share) Owed() bool { return s.admitted < guaranteedShare*s.offered }

func (s Share) faded(now time.Duration) Share {
	if now > s.at {
		factor := math.Exp2(-float64(now-s.at) / float64(shareHalfLife))
		s.offered *= factor
		s.admitted *= factor
		s.at = now
	}
	return s
}

// UsefulWork returns the work of a job for shares. Run times count as far as the job can
// be of use, since callers declare them: one job that declares days must not make up the
// work of its kind.
func (j *Job) UsefulWork(now time.Duration) float64 {
	return float64(j.Tasks) * float64(max(1, j.NeedMilli)) * max(0, min(j.RunTime, j.Limit-now)).Seconds()
}

// SizeQuantile is the size above which the largest tenth of the jobs of a kind lie.
// The zero value has seen no job.
type SizeQuantile struct{ size float64 }

// With returns the quantile after one more job.
func (q SizeQuantile) With(work float64) SizeQuantile {
	switch {
	case q.size == 0:
		q.size = work
	case work > q.size:
		q.size *= 1 + quantileStep*largeQuantile
	default:
		q.size *= 1 - quantileStep*(1-largeQuantile)
	}
	return q
}

// IsLarge reports whether a job belongs to the largest tenth.
func (q SizeQuantile) IsLarge(work float64) bool { return q.size > 0 && work > q.size }
