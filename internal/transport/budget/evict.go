package budget

import (
	"cmp"
	"slices"
	"time"
)

// need is what connections are to be closed for.
type need struct {
	bytes    int64 // memory
	conns    int   // or connections of the listener
	listener int
	address  string
	self     ID   // the connection that needs it
	newOnly  bool // only connections that have sent nothing
}

// rank orders connections by how soon they are closed for others.
type rank int

const (
	stalledRequest rank = iota // stopped in the middle of a head or body
	silent                     // has sent nothing
	slowRequest                // sends a head or body slowly
	refusedBody                // waits for memory that was refused
	unused                     // idle
	overShare                  // sends a request, of an address over its share
	kept                       // not closed for others
)

// evict chooses the connections to be closed for a need: stalled ones first, then slow
// ones. Of these, it chooses those of the address with the largest charge, and then the
// largest and oldest.
func (t *Table) evict(now time.Duration, reason Reason, n need) []Closing {
	if now-t.lastScan < scanPause {
		return nil
	}
	type candidate struct {
		*conn
		rank          rank
		addressCharge int64
	}
	var all []candidate
	for _, c := range t.conns {
		if c.id == n.self || (n.conns > 0 && c.listener != n.listener) || (n.newOnly && c.state != New) {
			continue
		}
		if r := t.rankOf(now, c, n); r < kept {
			all = append(all, candidate{c, r, t.addresses[c.address]})
		}
	}
	if len(all) == 0 {
		if !n.newOnly {
			t.lastScan = now
		}
		return nil
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(b.addressCharge, a.addressCharge),
			cmp.Compare(b.extra, a.extra),
			cmp.Compare(a.since, b.since),
			cmp.Compare(a.id, b.id),
		)
	})
	wanted, wantedConns := n.bytes, n.conns
	if n.conns > 0 {
		wantedConns = max(n.conns, int(batchShare*float64(t.listeners[n.listener].MaxConns())))
	}
	if n.bytes > 0 {
		wanted = max(n.bytes, int64(batchShare*float64(t.limits.MemoryBytes())))
	}
	var closings []Closing
	freed := int64(0)
	for _, c := range all {
		if len(closings) >= wantedConns && freed >= wanted {
			break
		}
		if c.rank >= unused && len(closings) >= n.conns && freed >= n.bytes {
			// No more than needed of the connections that send as they should.
			break
		}
		why := reason
		if c.rank == overShare {
			why = AddressShare
		}
		freed += c.charge()
		closings = append(closings, t.close(now, c.conn, why))
	}
	return closings
}

// rankOf returns how soon a connection is closed for a need.
func (t *Table) rankOf(now time.Duration, c *conn, n need) rank {
	stalled := now-c.progress >= stalledAfter && !c.waiting
	switch c.state {
	case Head, Body:
		switch {
		case stalled:
			return stalledRequest
		case t.slow(now, c):
			return slowRequest
		case c.waiting && n.self == 0:
			return refusedBody
		case c.address != n.address && float64(t.addresses[c.address]) > t.limits.AddressShare()*float64(t.limits.MemoryBytes()):
			return overShare
		}
	case New:
		if now-c.progress >= silentAfter {
			return silent
		}
	case Idle:
		if now-c.progress >= silentAfter {
			return unused
		}
	case Stream:
		if now-c.progress >= streamQuietAfter {
			return unused
		}
	case Serving, closing:
	}
	return kept
}

// slow reports whether a head or body takes longer than it has to.
func (t *Table) slow(now time.Duration, c *conn) bool {
	age := now - c.since
	return age >= stalledAfter && !c.waiting && float64(c.total-c.body) < age.Seconds()*defaultBodyRate
}
