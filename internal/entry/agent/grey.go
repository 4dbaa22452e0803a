package agent

import (
	"slices"
	"time"
)

// This file answers endpoints that fail or hang a part of what they run and look
// well otherwise. A job of eight tasks is late when one of them hangs, so that a
// few such endpoints harm most jobs. The agent beside the endpoint sees the runs
// of all entries and reports the share that ended badly; an entry compares it
// with that of the service's other endpoints, since jobs that can't be done fail
// everywhere.

const (
	// greyShare is the share of bad runs from which an endpoint is left alone. A
	// job of eight tasks that has one there is late in every fifth case.
	greyShare = 0.2
	// wellShare is the share below which it counts as well again. It is lower, so
	// that a few tasks that happen to end well don't bring all back.
	wellShare = greyShare / 2
	// greyFactor is by how much the share must be above the usual one.
	greyFactor = 3
	// trialDelay is how long a grey endpoint is left alone before it is sent one
	// task, doubled with each up to maxTrialDelay: with a dozen entries it gets a
	// few tasks a second, so that it is back within seconds of being well.
	trialDelay    = 500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
)

// judge decides whether a member is grey, by its latest report.
func (p *Pool) judge(m *Member) {
	if m.bad < greyShare && !m.grey {
		return
	}
	bound := greyShare
	if m.grey {
		bound = wellShare
	}
	m.grey = m.bad >= bound && m.bad >= greyFactor*p.usualBad(m.Service)
	if !m.grey {
		m.trials = 0
	}
}

// usualBad returns the median share of bad runs of a service's members.
func (p *Pool) usualBad(service string) float64 {
	var all []float64
	for _, m := range p.byService[service] {
		if m.Linked && m.Open {
			all = append(all, m.bad)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Grey reports whether a member is left alone because part of its runs end badly.
func (m *Member) Grey() bool { return m.grey }
