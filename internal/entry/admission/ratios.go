package admission

import "time"

const (
	// ratioBuckets is the number of buckets of run times divided by expected ones.
	ratioBuckets = 12
	// priorWeight is the weight of the assumed distribution against one observation.
	priorWeight = 10
	// ratioDecay is the factor by which an observation loses weight with each later
	// one: about 200 count, among them six of a tail of 3%.
	ratioDecay = 0.995
)

// ratioBounds are the upper bounds of the buckets. Ratios above the last one count in
// the last bucket.
var ratioBounds = [ratioBuckets]float64{0.4, 0.6, 0.8, 1, 1.2, 1.4, 1.8, 2.5, 4, 6, 8, 12}

// priorWeights is the assumed distribution: run times between 0.6 and 1.4 of the
// expected ones, and 3% that take seven times as long.
var priorWeights = [ratioBuckets]float64{
	2: priorWeight * 0.97 / 4, 3: priorWeight * 0.97 / 4, 4: priorWeight * 0.97 / 4, 5: priorWeight * 0.97 / 4,
	10: priorWeight * 0.03,
}

// Ratios is the distribution of the run times of a kind of task, divided by the
// expected ones. The zero value is the distribution that is assumed without
// observations.
type Ratios struct {
	observed [ratioBuckets]float64
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
	for i := range r.observed {
		r.observed[i] *= ratioDecay
	}
	r.observed[bucket]++
	return r
}

// remaining returns the distribution of the remaining run time of a task, given the
// elapsed one, both as multiples of the expected run time: the mean in each bucket and
// its probability. A task that has run longer than all others is expected to need half
// as much time again.
func (r *Ratios) remaining(elapsed float64, mean, probability *[ratioBuckets]float64) (buckets int) {
	first := 0
	for first < ratioBuckets && ratioBounds[first] <= elapsed {
		first++
	}
	total := 0.0
	low := elapsed
	for i := first; i < ratioBuckets; i++ {
		weight := priorWeights[i]
		if r != nil {
			weight += r.observed[i]
		}
		if i == first && i > 0 {
			weight *= (ratioBounds[i] - elapsed) / (ratioBounds[i] - ratioBounds[i-1])
		}
		if weight > 0 {
			mean[buckets], probability[buckets] = (low+ratioBounds[i])/2-elapsed, weight
			total += weight
			buckets++
		}
		low = ratioBounds[i]
	}
	if total <= 0 {
		mean[0], probability[0] = elapsed/2, 1
		return 1
	}
	for i := range buckets {
		probability[i] /= total
	}
	return buckets
}
