package host

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/transport/outbox"
)

// errLinkEnded ends a link that the agent closes.
var errLinkEnded = connect.NewError(connect.CodeAborted, errors.New("the entry opened a newer link or the agent is closing"))

// linkServer implements the AgentLink service.
type linkServer struct {
	agent *Agent
}

// Link serves one link of an entry until either side ends it.
func (s *linkServer) Link(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent]) error {
	first, err := stream.Receive()
	if err != nil {
		return fmt.Errorf("receive the first message of a link: %w", err)
	}
	if first.Entry == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("entry: is missing"))
	}
	a := s.agent
	if first.Agent != "" && first.Agent != a.incarnation {
		// The entry removes its record of the other incarnation when it receives
		// the name of this one. Its link to this one, if any, stays.
		return stream.Send(&wirepb.FromAgent{Agent: a.incarnation})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id, l := a.addLink(first.Entry, first.EntryAddress)
	if len(first.Entries) > 0 {
		a.announcer.RecordList(l.address, first.Entries)
	}
	a.log.Info("link opened", zap.String("entry", l.entry), zap.Uint64("link", id))
	a.pushEvent(ctx, entry.LinkOpened{Link: id, Entry: l.entry})
	a.pushEvent(ctx, entry.MessageReceived{Link: id, Msg: first})
	var writer sync.WaitGroup
	writer.Go(func() { a.writeLink(stream, l) })
	received := make(chan error, 1)
	go func() { received <- a.readLink(ctx, stream, id, l.address) }()
	select {
	case err = <-received:
	case <-l.ended:
		err = errLinkEnded
	}
	a.removeLink(id, l)
	writer.Wait()
	a.log.Info("link closed", zap.String("entry", l.entry), zap.Uint64("link", id))
	// The context of the request may have ended with the link.
	a.pushEvent(a.ctx, entry.LinkClosed{Link: id})
	return err
}

func (a *Agent) readLink(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent], id uint64, address string) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		a.counters.Messages.Add("from_entry", 1)
		if len(msg.Entries) > 0 {
			a.announcer.RecordList(address, msg.Entries)
			continue
		}
		a.pushEvent(ctx, entry.MessageReceived{Link: id, Msg: msg})
	}
}

// writeLink sends the outgoing messages of a link. The first one, and the first one
// after the endpoint was replaced, includes the description of the agent. The load
// reports of a new endpoint thus never arrive before its description.
func (a *Agent) writeLink(stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent], l *entryLink) {
	var described *wirepb.AgentInfo
	for {
		batch := l.outbox.Take()
		if batch == nil {
			return
		}
		for _, m := range batch {
			msg := m.(*wirepb.FromAgent)
			if described == nil || msg.Load.GetEndpoint() != described.Endpoint {
				described = a.agentInfo()
				msg.Info = described
			}
			if err := stream.Send(msg); err != nil {
				l.end()
				return
			}
		}
	}
}

// addLink registers a link and ends the entry's previous one, or that of an
// earlier process at the entry's address.
func (a *Agent) addLink(entry, address string) (uint64, *entryLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := &entryLink{entry: entry, address: address, opened: a.controlClock(), outbox: outbox.New(), ended: make(chan struct{})}
	for _, old := range a.byEntry {
		if old.entry == entry || address != "" && old.address == address {
			old.end()
		}
	}
	a.lastLinkID++
	a.links[a.lastLinkID] = l
	a.byEntry[entry] = l
	return a.lastLinkID, l
}

func (a *Agent) removeLink(id uint64, l *entryLink) {
	l.outbox.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, id)
	if a.byEntry[l.entry] == l {
		delete(a.byEntry, l.entry)
	}
}

// openLinks returns the newest link of each entry.
func (a *Agent) openLinks() []rendezvous.Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	links := make([]rendezvous.Link, 0, len(a.byEntry))
	for _, l := range a.byEntry {
		links = append(links, rendezvous.Link{Incarnation: l.entry, Address: l.address, Opened: l.opened})
	}
	return links
}
