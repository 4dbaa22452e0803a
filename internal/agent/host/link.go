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
	"github.com/savorystair/savorystair/internal/transport/outbox"
)

// errReplaced ends a link whose entry has opened a newer one.
var errReplaced = connect.NewError(connect.CodeAborted, errors.New("the link was replaced or the agent stops"))

// linkServer serves the links of entries.
type linkServer struct {
	agent *Agent
}

// Link carries one link until either side ends it.
func (s *linkServer) Link(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent]) error {
	first, err := stream.Receive()
	if err != nil {
		return fmt.Errorf("receive the first message of a link: %w", err)
	}
	if first.Entry == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("entry: is missing"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := s.agent
	id, l := a.addLink(first.Entry)
	a.log.Info("link opened", zap.String("entry", l.entry), zap.Uint64("link", id))
	a.push(ctx, entry.LinkOpened{Link: id, Entry: l.entry})
	a.push(ctx, entry.Received{Link: id, Msg: first})
	var writer sync.WaitGroup
	writer.Go(func() { a.writeLink(stream, l) })
	received := make(chan error, 1)
	go func() { received <- a.readLink(ctx, stream, id) }()
	select {
	case err = <-received:
	case <-l.ended:
		err = errReplaced
	}
	a.dropLink(id, l)
	writer.Wait()
	a.log.Info("link closed", zap.String("entry", l.entry), zap.Uint64("link", id))
	a.push(ctx, entry.LinkClosed{Link: id})
	return err
}

func (a *Agent) readLink(ctx context.Context, stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent], id uint64) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		a.counters.Messages.Add("from_entry", 1)
		a.push(ctx, entry.Received{Link: id, Msg: msg})
	}
}

// writeLink sends what the control state has for a link, and describes the
// agent on the first message.
func (a *Agent) writeLink(stream *connect.BidiStream[wirepb.ToAgent, wirepb.FromAgent], l *openLink) {
	info := a.info()
	for {
		batch := l.outbox.Take()
		if batch == nil {
			return
		}
		for _, m := range batch {
			msg := m.(*wirepb.FromAgent)
			msg.Info = info
			info = nil
			if err := stream.Send(msg); err != nil {
				l.end()
				return
			}
		}
	}
}

// addLink registers a link and ends the entry's earlier one.
func (a *Agent) addLink(entry string) (uint64, *openLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := &openLink{entry: entry, outbox: outbox.New(), ended: make(chan struct{})}
	if old := a.byEntry[entry]; old != nil {
		old.end()
	}
	a.nextLink++
	a.links[a.nextLink] = l
	a.byEntry[entry] = l
	return a.nextLink, l
}

func (a *Agent) dropLink(id uint64, l *openLink) {
	l.outbox.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, id)
	if a.byEntry[l.entry] == l {
		delete(a.byEntry, l.entry)
	}
}

func (a *Agent) linkCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byEntry)
}

func (a *Agent) linked(entry string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byEntry[entry] != nil
}
