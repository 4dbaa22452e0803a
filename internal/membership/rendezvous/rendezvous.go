// Package rendezvous selects the entries that an agent is linked to, by
// rendezvous hashing. Agents and entries compute the same selection from the same
// list of entries, without talking to each other.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomesPerAgent is the number of entries that an agent is linked to, in a region
// with at least as many. The links of all agents together then grow with the
// agents, not with agents times entries.
const HomesPerAgent = 10

// Entry is an entry that an agent may be linked to.
type Entry struct {
	Address string // peer address
	Zone    string
}

// Homes returns the entries that the agent with the given link address is linked
// to: all of them or HomesPerAgent, the highest ranked first. They are spread
// evenly over the zones of the entries, so that the callers of each zone can
// reach nearly every agent. A change of the entries changes few selections: an
// entry that leaves is replaced at its agents only.
func Homes(agent string, entries []Entry) []Entry {
	if len(entries) <= HomesPerAgent {
		return entries
	}
	ranked := rankWithinZones(agent, entries)
	slices.SortFunc(ranked, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.rankInZone, b.rankInZone), b.compare(a))
	})
	homes := make([]Entry, HomesPerAgent)
	for i := range homes {
		homes[i] = ranked[i].Entry
	}
	return homes
}

// IsHome reports whether the entry with the given address is among the homes of
// an agent.
func IsHome(agent, address string, entries []Entry) bool {
	return slices.ContainsFunc(Homes(agent, entries), func(e Entry) bool { return e.Address == address })
}

// rankedEntry is an entry with its score for one agent.
type rankedEntry struct {
	Entry
	score      uint64
	rankInZone int
}

// compare orders entries by score, and by address if the scores are equal.
func (e rankedEntry) compare(o rankedEntry) int {
	return cmp.Or(cmp.Compare(e.score, o.score), cmp.Compare(e.Address, o.Address))
}

// rankWithinZones returns the entries with their ranks among the entries of their
// zone; 0 is the highest score.
func rankWithinZones(agent string, entries []Entry) []rankedEntry {
	ranked := make([]rankedEntry, len(entries))
	for i, e := range entries {
		ranked[i] = rankedEntry{Entry: e, score: xxhash.Sum64String(agent + " " + e.Address)}
	}
	slices.SortFunc(ranked, func(a, b rankedEntry) int { return b.compare(a) })
	inZone := map[string]int{}
	for i := range ranked {
		ranked[i].rankInZone = inZone[ranked[i].Zone]
		inZone[ranked[i].Zone]++
	}
	return ranked
}
