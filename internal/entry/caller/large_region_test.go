package caller_test

import (
	"testing"
	"time"
)

// largeRegion is a simulation with hundreds of processes, in which each agent is
// linked to some of the entries.
type largeRegion struct {
	*simulation
	submitted int
}

const (
	regionEntries = 40
	regionAgents  = 200
	regionZones   = 5
	// regionJobsPerSecond keeps the endpoints about half busy.
	regionJobsPerSecond = 120
	regionEnd           = 9 * time.Second
)

func newLargeRegion(seed uint64) *largeRegion {
	r := &largeRegion{simulation: newSimulation(seed, 0, 0)}
	r.leased = true
	zoneOf := func(i int) string { return string(rune('a' + i%regionZones)) }
	for i := range regionEntries {
		e := &simEntry{index: i, zone: zoneOf(i)}
		r.entries = append(r.entries, e)
		r.startEntry(e)
	}
	for i := range regionAgents {
		a := &simAgent{index: i, zone: zoneOf(i), speed: 0.5 + r.rng.Float64()*2}
		r.agents = append(r.agents, a)
		r.startAgent(a)
	}
	return r
}

// submitLoad submits repeatable jobs to random entries until a time before
// regionEnd that leaves room for their deadlines.
func (r *largeRegion) submitLoad() {
	r.every(time.Second/regionJobsPerSecond, func() bool {
		j := newSimJob(r.submitted, 1+r.rng.IntN(6))
		for n := range j.job.Tasks {
			j.job.Tasks[n].Index = n
		}
		r.submitted++
		r.jobs = append(r.jobs, j)
		r.submitRepeatable(j, r.entries[r.rng.IntN(regionEntries)], 1)
		return r.now < regionEnd-3*time.Second
	})
}

// linksOfBusiestEntry returns the number of links of the entry with the most.
func (r *largeRegion) linksOfBusiestEntry() int {
	most := 0
	for _, e := range r.entries {
		n := 0
		for _, l := range e.links {
			if l.up {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// restartEntry kills an entry and starts it again after some time.
func (r *largeRegion) restartEntry(e *simEntry, after time.Duration) {
	if e.alive {
		r.killEntry(e)
		r.after(after, func() { r.startEntry(e) })
	}
}

func (r *largeRegion) restartAgent(a *simAgent, after time.Duration) {
	if a.alive {
		r.killAgent(a)
		r.after(after, func() { r.startAgent(a) })
	}
}

// TestLargeRegion runs a region of hundreds of hosts through the loss of an
// availability zone, of single hosts in turn, and of almost all hosts at once. No
// task may have two concurrent runs, every caller gets an answer, and no entry may
// link to more than a part of the agents.
func TestLargeRegion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disturb func(r *largeRegion)
	}{
		{"a zone is lost and returns", func(r *largeRegion) {
			r.after(2*time.Second, func() {
				for _, e := range r.entries {
					if e.zone == "b" {
						r.restartEntry(e, time.Second)
					}
				}
				for _, a := range r.agents {
					if a.zone == "b" {
						r.restartAgent(a, time.Second)
					}
				}
			})
		}},
		{"hosts restart in turn", func(r *largeRegion) {
			for i := range 60 {
				r.after(1500*ms+time.Duration(i)*50*ms, func() {
					r.restartEntry(r.entries[i%regionEntries], 400*ms)
					r.restartAgent(r.agents[(7*i)%regionAgents], 300*ms)
				})
			}
		}},
		{"nearly all hosts lose power", func(r *largeRegion) {
			r.after(2500*ms, func() {
				for _, e := range r.entries[1:] {
					r.restartEntry(e, r.randomDuration(500*ms, 900*ms))
				}
				for _, a := range r.agents[1:] {
					r.restartAgent(a, r.randomDuration(500*ms, 900*ms))
				}
			})
		}},
		{"hosts pause", func(r *largeRegion) {
			for i := range 40 {
				r.after(time.Second+time.Duration(i)*70*ms, func() {
					r.pause(&r.entries[(3*i)%regionEntries].proc, r.randomDuration(100*ms, 2000*ms))
					r.pause(&r.agents[(11*i)%regionAgents].proc, r.randomDuration(100*ms, 2000*ms))
				})
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newLargeRegion(uint64(len(tt.name)))
			r.after(600*ms, r.submitLoad)
			tt.disturb(r)
			r.run(1500 * ms)
			if n := r.linksOfBusiestEntry(); n > regionAgents/2 {
				t.Errorf("the busiest of %d entries has links to %d of %d agents, want at most half", regionEntries, n, regionAgents)
			}
			r.run(regionEnd + jobDeadline)
			r.checkAllAnswered()
			for _, v := range r.violations {
				t.Error(v)
			}
			completed := 0
			for _, j := range r.jobs {
				for _, a := range j.answers {
					if a.Complete {
						completed++
						break
					}
				}
			}
			t.Logf("%d of %d jobs completed, %d links at the busiest entry", completed, len(r.jobs), r.linksOfBusiestEntry())
			if completed < len(r.jobs)*8/10 {
				t.Errorf("%d of %d jobs completed, want four fifths", completed, len(r.jobs))
			}
		})
	}
}
