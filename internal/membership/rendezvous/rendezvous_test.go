package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/savorystair/savorystair/internal/membership/rendezvous"
)

// region returns entries in zones of the given sizes.
func region(sizes ...int) []rendezvous.Entry {
	var all []rendezvous.Entry
	for zone, n := range sizes {
		for i := range n {
			all = append(all, rendezvous.Entry{Address: fmt.Sprintf("10.%d.0.%d:8166", zone+1, i+1), Zone: fmt.Sprint("z", zone)})
		}
	}
	return all
}

func agentAddress(i int) string { return fmt.Sprintf("10.9.%d.%d:7720", i/250, i%250) }

func TestHomesOfSmallRegion(t *testing.T) {
	entries := region(4, 3, 3)
	if diff := cmp.Diff(entries, rendezvous.Homes("a", entries)); diff != "" {
		t.Error("an agent is not linked to all of 10 entries:", diff)
	}
}

// Each agent is linked to the same number of entries, in every zone, and no entry
// to many more agents than another of its zone.
func TestHomesAreBalanced(t *testing.T) {
	const agents = 160
	entries := region(7, 8, 7, 7, 6)
	agentsOf := map[string]int{}
	for i := range agents {
		homes := rendezvous.Homes(agentAddress(i), entries)
		if len(homes) != rendezvous.HomesPerAgent {
			t.Fatalf("agent %d has %d homes, want %d", i, len(homes), rendezvous.HomesPerAgent)
		}
		inZone := map[string]int{}
		for _, h := range homes {
			agentsOf[h.Address]++
			inZone[h.Zone]++
		}
		for zone, n := range inZone {
			if n != rendezvous.HomesPerAgent/5 {
				t.Errorf("agent %d has %d homes in %s, want %d", i, n, zone, rendezvous.HomesPerAgent/5)
			}
		}
	}
	mean := float64(agents*rendezvous.HomesPerAgent) / float64(len(entries))
	for address, n := range agentsOf {
		if float64(n) < mean/2 || float64(n) > 1.6*mean {
			t.Errorf("%s is the home of %d agents, the mean is %.0f", address, n, mean)
		}
	}
}

// The order in which a process learned of the entries must not matter.
func TestHomesDoNotDependOnOrder(t *testing.T) {
	entries := region(7, 8, 7, 7, 6)
	var reversed []rendezvous.Entry
	for i := range entries {
		reversed = append(reversed, entries[len(entries)-1-i])
	}
	for i := range 100 {
		if diff := cmp.Diff(rendezvous.Homes(agentAddress(i), entries), rendezvous.Homes(agentAddress(i), reversed)); diff != "" {
			t.Fatal(diff)
		}
	}
}

// When an entry leaves, each of its agents gets one other home and keeps the
// rest. Other agents keep all.
func TestHomesChangeLittle(t *testing.T) {
	entries := region(7, 8, 7, 7, 6)
	gone := entries[9].Address
	remaining := append(append([]rendezvous.Entry{}, entries[:9]...), entries[10:]...)
	for i := range 300 {
		before, after := rendezvous.Homes(agentAddress(i), entries), rendezvous.Homes(agentAddress(i), remaining)
		kept := 0
		for _, e := range after {
			if rendezvous.IsHome(agentAddress(i), e.Address, entries) {
				kept++
			}
		}
		want := len(before)
		if rendezvous.IsHome(agentAddress(i), gone, entries) {
			want--
		}
		if kept != want {
			t.Fatalf("agent %d keeps %d homes, want %d", i, kept, want)
		}
	}
}

// The links of all agents grow with the agents, whatever the number of entries,
// and the agents of an entry follow from their ratio.
func TestLinksBySize(t *testing.T) {
	for _, size := range []struct{ entriesPerZone, zones, agents, most int }{
		{7, 5, 160, 75}, {11, 5, 246, 75}, {36, 5, 820, 75}, {8, 1, 471, 471},
	} {
		var sizes []int
		for range size.zones {
			sizes = append(sizes, size.entriesPerZone)
		}
		entries, agentsOf, busiest := region(sizes...), map[string]int{}, 0
		for i := range size.agents {
			for _, h := range rendezvous.Homes(agentAddress(i), entries) {
				agentsOf[h.Address]++
				busiest = max(busiest, agentsOf[h.Address])
			}
		}
		t.Logf("%d entries, %d agents: the busiest entry has %d links", len(entries), size.agents, busiest)
		if busiest > size.most {
			t.Errorf("%d entries, %d agents: the busiest entry has %d links, want at most %d", len(entries), size.agents, busiest, size.most)
		}
	}
}
