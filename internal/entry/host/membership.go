package host

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// minEntriesInterval is the time between two transmissions of the list of entries
// to the agents. When all hosts start at once, each entry hears of the others
// within some 100 ms.
const minEntriesInterval = 100 * time.Millisecond

// regionEntries returns the live entries of the region, as agents receive them.
func (e *Entry) regionEntries() []*wirepb.EntryAddress { return e.directory.EntryAddresses() }

// wakeEntriesSender makes sendEntries check whether the live entries have changed.
func (e *Entry) wakeEntriesSender() {
	select {
	case e.entriesWake <- struct{}{}:
	default:
	}
}

// sendEntries sends the live entries of the region to the linked agents after each
// change, until ctx ends.
func (e *Entry) sendEntries(ctx context.Context) error {
	var sent []string
	for {
		select {
		case <-e.entriesWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if current := sortedAddresses(e.regionEntries()); !slices.Equal(current, sent) {
			sent = current
			e.links.SendEntries()
			e.counters.Events.Add("entry_lists_sent", 1)
		}
		pause.For(ctx, minEntriesInterval)
	}
}

func sortedAddresses(entries []*wirepb.EntryAddress) []string {
	addresses := make([]string, len(entries))
	for i, entry := range entries {
		addresses[i] = entry.Address
	}
	slices.SortFunc(addresses, strings.Compare)
	return addresses
}
