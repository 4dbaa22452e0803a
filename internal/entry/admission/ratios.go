package admission

import "time"

const (
	// ratioBuckets is the number of buckets of run times divided by expected ones.
	ratioBuckets = 20
	// priorWeight is the weight of the assumed distribution against one observation.
	priorWeight = 10
	// ratioDecay is the factor by which an observation loses weight with each later
	// one: about 200 count, among them six of a tail of 3%.
	ratioDecay = 0.995
)

// ratioBounds are the upper bounds of the buckets. Ratios above the last one count in
// the last bucket.
var ratioBounds = [ratioBuckets]float64{
	0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3, 1.4, 1.6, 2, 3, 4.5, 6, 8, 12,
}

// Ratios is the distribution of the run times of a kind of task, divided by the
// expected ones. The zero value is the distribution that is assumed without
// observations.
type Ratios struct {
	weights [ratioBuckets]float64
	count   int
}

// priorRatios is the assumed distribution: run times between 0.6 and 1.4 of the
// expected ones, and 3% that take seven times as long.
var priorRatios Ratios

// prior returns the assumed weight of a bucket. The buckets from 0.6 to 1.4 are
// those with the indexes 5 to 12.
func prior(bucket int) float64 {
	const tail, tailBucket, low, high = 0.03, 18, 5, 12
	switch {
	case bucket == tailBucket:
		return priorWeight * tail
	case bucket >= low && bucket <= high:
		return priorWeight * (1 - tail) / (high - low + 1)
	}
	return 0
}

// With returns the distribution with one more observation.
func (r Ratios) With(runTime, expected time.Duration) Ratios {
	if expected <= 0 {
		return r
	}
	ratio := float64(runTime) / float64(expected)
	bucket := 0
	for bucket < ratioBuckets-1 && ratio > ratioBounds[bucket] {
		bucket++
	}
	for i := range r.weights {
		r.weights[i] *= ratioDecay
	}
	r.weights[bucket]++
	r.count++
	return r
}

// Count returns the number of observations.
func (r Ratios) Count() int { return r.count }

// eachRemaining calls f with possible remaining run times of a task, as multiples of
// the expected run time, and their probabilities. A task that has run longer than
// all others is expected to need half as much time again.
func (r *Ratios) eachRemaining(elapsed float64, f func(remaining, probability float64)) {
	first := 0
	for first < ratioBuckets && ratioBounds[first] <= elapsed {
		first++
	}
	var weights [ratioBuckets]float64
	total := 0.0
	for i := first; i < ratioBuckets; i++ {
		weights[i] = r.weights[i] + prior(i)
		if i == first {
			weights[i] *= partAbove(i, elapsed)
		}
		total += weights[i]
	}
	if total <= 0 {
		f(elapsed/2, 1)
		return
	}
	for i := first; i < ratioBuckets; i++ {
		if weights[i] == 0 {
			continue
		}
		low := elapsed
		if i > first {
			low = ratioBounds[i-1]
		}
		f((low+ratioBounds[i])/2-elapsed, weights[i]/total)
	}
}

// partAbove returns the part of a bucket that lies above a value in it.
func partAbove(bucket int, value float64) float64 {
	low := 0.0
	if bucket > 0 {
		low = ratioBounds[bucket-1]
	}
	return min(1, (ratioBounds[bucket]-value)/(ratioBounds[bucket]-low))
}
