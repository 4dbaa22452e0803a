package rendezvous_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/savorystair/savorystair/internal/membership/rendezvous"
)

const (
	self = "10.9.0.1:7720" // link address of the agent
	ms   = time.Millisecond
)

// linksTo returns links to entries, opened at the given time.
func linksTo(entries []rendezvous.Entry, opened time.Duration) []rendezvous.Link {
	var links []rendezvous.Link
	for _, e := range entries {
		links = append(links, rendezvous.Link{Incarnation: "of " + e.Address, Address: e.Address, Opened: opened})
	}
	return links
}

func countCalls(calls []rendezvous.Call) (lookups, announcements int) {
	for _, c := range calls {
		if c.Lookup {
			lookups++
		} else {
			announcements++
		}
	}
	return lookups, announcements
}

// An agent that starts knows the seeds only. It must not announce itself to a seed
// before it knows whether it selects it: in a region of hundreds of agents all
// would link to the three seeds.
func TestStartWithSeeds(t *testing.T) {
	var s rendezvous.Selection
	entries := region(7, 8, 7, 7, 6)
	seeds := []string{entries[0].Address, entries[7].Address, "10.7.7.7:8166"}
	s.SetConfigured(seeds)
	lookups, announcements := countCalls(s.Calls(0, self, nil, false))
	if lookups != 3 || announcements != 0 {
		t.Errorf("%d lookups and %d announcements at the start, want 3 and 0", lookups, announcements)
	}
	if calls := s.Calls(50*ms, self, nil, false); len(calls) != 0 {
		t.Errorf("calls 50 ms later: %v, want none", calls)
	}
	s.RecordFailure(60*ms, seeds[2])
	s.RecordList(60*ms, seeds[0], entries)
	lookups, announcements = countCalls(s.Calls(60*ms, self, nil, false))
	if lookups != 0 || announcements != rendezvous.HomesPerAgent {
		t.Errorf("%d lookups and %d announcements after the first response, want 0 and %d", lookups, announcements, rendezvous.HomesPerAgent)
	}
}

// Once every selected entry has a link, an agent makes no calls for 10 s but to
// seeds that nobody lists.
func TestNoCallsWhileLinked(t *testing.T) {
	var s rendezvous.Selection
	entries := region(7, 8, 7, 7, 6)
	s.SetConfigured([]string{entries[0].Address})
	s.RecordList(0, entries[0].Address, entries)
	links := linksTo(s.Homes(0, self), 0)
	s.Calls(10*time.Second, self, links, false)
	calls := 0
	for now := 10 * time.Second; now < 60*time.Second; now += 200 * ms {
		calls += len(s.Calls(now, self, links, false))
		s.RecordListed(now, entries)
	}
	if calls != 4 {
		t.Errorf("%d calls in 50 s, want 4", calls)
	}
}

// An entry that restarts at its address is called until it has a link again, and
// is not replaced meanwhile. One that stays away is replaced after 5 s, and keeps
// being asked; when it is back it takes its place again.
func TestSelectedEntryFails(t *testing.T) {
	var s rendezvous.Selection
	entries := region(7, 8, 7, 7, 6)
	s.RecordListed(0, entries)
	homes := s.Homes(0, self)
	links := linksTo(homes[1:], 0)
	for now := time.Duration(0); now < 20*time.Second; now += 200 * ms {
		s.RecordListed(now, entries)
		calls := s.Calls(now, self, links, false)
		if len(calls) > 0 && calls[0].Address == homes[0].Address {
			s.RecordFailure(now, homes[0].Address)
		}
		replaced := !cmp.Equal(s.Homes(now, self), homes)
		if want := now >= 5*time.Second; replaced != want {
			t.Fatalf("after %s the failing entry is replaced: %t, want %t", now, replaced, want)
		}
	}
	s.RecordList(20*time.Second, homes[0].Address, entries)
	if diff := cmp.Diff(homes, s.Homes(20*time.Second, self)); diff != "" {
		t.Error("the selection after the entry is back:", diff)
	}
}

// While all hosts start, an agent sees partial lists and links to entries that it
// does not select in the end. It releases those links once it has the others.
func TestReleasedLinks(t *testing.T) {
	var s rendezvous.Selection
	entries := region(7, 8, 7, 7, 6)
	s.RecordListed(0, entries[:4])
	early := linksTo(s.Homes(0, self), 0)
	if len(early) != 4 {
		t.Fatalf("%d homes of 4 known entries", len(early))
	}
	s.RecordListed(100*ms, entries)
	homes := s.Homes(100*ms, self)
	if got := s.Released(10*time.Second, self, early); len(got) != 0 {
		t.Errorf("released %v before the selected entries have links", got)
	}
	links := append(linksTo(homes, 200*ms), early...)
	if got := s.Released(time.Second, self, links); len(got) != 0 {
		t.Errorf("released %v after 1 s, want none before 5 s", got)
	}
	want := 0
	for _, l := range early {
		if !rendezvous.IsHome(self, l.Address, entries) {
			want++
		}
	}
	if got := s.Released(6*time.Second, self, links); len(got) != want {
		t.Errorf("released %v, want the %d that are not selected", got, want)
	}
}
