package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/outbox"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// firstMessageTimeout bounds the wait for an agent's first message.
	firstMessageTimeout = 700 * time.Millisecond
	// initialRedialDelay and maxRedialDelay bound the delay between attempts to
	// open a link.
	initialRedialDelay = 20 * time.Millisecond
	maxRedialDelay     = time.Second
	// maxRefusedConnections is the number of consecutive refused connections
	// after which an incarnation counts as gone, because no process listens at
	// its address any more.
	maxRefusedConnections = 3
)

// errOtherIncarnation is returned if the process at the agent's address is not
// the expected incarnation.
var errOtherIncarnation = errors.New("another incarnation of the agent answers at the address")

// Listener receives the events of links. Its methods may block.
type Listener interface {
	// LinkUp reports that a session of a link is open. Session is its number; later
	// sessions have greater ones. Info is the description of the agent in its first
	// message, or nil if the message has none.
	LinkUp(incarnation string, session uint64, info *wirepb.AgentInfo)
	// LinkDown reports that a session ended or could not be opened. If gone is set,
	// the incarnation no longer exists, and its link is not opened again, unless Open
	// has been called meanwhile: the events of that link may come first.
	LinkDown(incarnation string, session uint64, gone bool)
	// MessageReceived reports a message from an agent.
	MessageReceived(incarnation string, msg *wirepb.FromAgent)
}

// Links maintains one link to each agent incarnation passed to Open.
type Links struct {
	EntryIncarnation string // incarnation of this entry
	EntryAddress     string // peer address of this entry
	// Entries returns the live entries of the region, which agents select from; nil
	// means that they are not sent.
	Entries  func() []*wirepb.EntryAddress
	Listener Listener
	Log      *zap.Logger
	Meter    *h2c.Meter

	mu          sync.Mutex
	links       map[string]*link
	lastSession atomic.Uint64 // number of the latest session of any link
	linkLoops   sync.WaitGroup
}

// link is the link to one agent incarnation. It has one session at a time, and
// each session has its own connection.
type link struct {
	incarnation string
	address     string
	cancel      context.CancelFunc

	mu            sync.Mutex
	session       uint64 // number of the current session, 0 before the first one
	outbox        *outbox.Outbox
	cancelSession context.CancelFunc
}

// Open opens a link and reopens it whenever it fails, until Close is called, ctx
// ends or the incarnation is gone.
func (ls *Links) Open(ctx context.Context, incarnation, address string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.links == nil {
		ls.links = map[string]*link{}
	}
	if ls.links[incarnation] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{incarnation: incarnation, address: address, cancel: cancel, outbox: outbox.New()}
	ls.links[incarnation] = l
	ls.linkLoops.Go(func() {
		defer cancel()
		ls.maintain(ctx, l)
	})
}

// Close closes a link permanently.
func (ls *Links) Close(incarnation string) {
	ls.mu.Lock()
	l := ls.links[incarnation]
	delete(ls.links, incarnation)
	ls.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}

// remove removes a link that has ended, so that Open can open it again.
func (ls *Links) remove(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.links[l.incarnation] == l {
		delete(ls.links, l.incarnation)
	}
}

// Reset closes the connection of a session, unless it has ended. The link is then
// reopened.
func (ls *Links) Reset(incarnation string, session uint64) {
	if l := ls.get(incarnation); l != nil {
		l.endSession(session)
	}
}

// Send queues a message for an agent. The message is dropped if its session has
// ended, or ends before the message is written; the sender has to send it again
// after the next LinkUp. It is never sent in a later session, which begins with the
// tasks that the agent has by then: the sender may have given up others meanwhile.
func (ls *Links) Send(incarnation string, session uint64, msg *wirepb.ToAgent) {
	l := ls.get(incarnation)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.outbox.Put(msg)
	}
}

// SendEntries sends the live entries of the region over every link. Links that are
// down send them when they open.
func (ls *Links) SendEntries() {
	entries := ls.entries()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.links {
		l.mu.Lock()
		l.outbox.Put(&wirepb.ToAgent{Entries: entries})
		l.mu.Unlock()
	}
}

func (ls *Links) entries() []*wirepb.EntryAddress {
	if ls.Entries == nil {
		return nil
	}
	return ls.Entries()
}

// Wait waits until every link has ended.
func (ls *Links) Wait() { ls.linkLoops.Wait() }

func (ls *Links) get(incarnation string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.links[incarnation]
}

// endSession ends a session, if it is the current one.
func (l *link) endSession(session uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session && l.cancelSession != nil {
		l.cancelSession()
	}
}

// beginSession registers a new session and the function that ends it, and returns
// an empty send queue for it.
func (l *link) beginSession(session uint64, cancel context.CancelFunc) *outbox.Outbox {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
	l.cancelSession = cancel
	l.outbox = outbox.New()
	return l.outbox
}

// maintain runs one session after another until ctx ends or the incarnation is
// gone. The delay between sessions grows exponentially, and is reset by a session
// that lasted longer than maxRedialDelay.
func (ls *Links) maintain(ctx context.Context, l *link) {
	redialDelay := backoff.NewExponentialBackOff()
	redialDelay.InitialInterval = initialRedialDelay
	redialDelay.MaxInterval = maxRedialDelay
	refusedInRow := 0
	for ctx.Err() == nil {
		sessionStart := time.Now()
		session := ls.lastSession.Add(1)
		err := ls.runSession(ctx, l, session)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusedInRow++
		} else {
			refusedInRow = 0
		}
		gone := errors.Is(err, errOtherIncarnation) || refusedInRow >= maxRefusedConnections
		ls.Log.Info("agent link ended", zap.String("agent", l.incarnation), zap.Bool("gone", gone), zap.Error(err))
		if gone {
			ls.remove(l)
		}
		ls.Listener.LinkDown(l.incarnation, session, gone)
		if gone {
			return
		}
		if time.Since(sessionStart) > maxRedialDelay {
			redialDelay.Reset()
		}
		pause.For(ctx, redialDelay.NextBackOff())
	}
}

// runSession opens a connection and exchanges messages on it until it fails.
// Each session has its own transport, so that a connection that stopped
// responding is never reused.
func (ls *Links) runSession(ctx context.Context, l *link, session uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, closeConns := h2c.NewBreakableClient(ls.Meter)
	defer context.AfterFunc(ctx, closeConns)()
	defer closeConns()
	queue := l.beginSession(session, cancel)
	defer queue.Close()
	stream, first, err := ls.openStream(ctx, cancel, client, l)
	if err != nil {
		return err
	}
	ls.Log.Info("agent link opened", zap.String("agent", l.incarnation))
	ls.Listener.LinkUp(l.incarnation, session, first.Info)
	ls.Listener.MessageReceived(l.incarnation, first)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		writeMessages(stream, queue)
	})
	err = ls.readMessages(stream, l)
	cancel()
	queue.Close()
	writer.Wait()
	return err
}

// openStream opens a stream, checks that the expected incarnation answers, and
// returns the stream and the agent's first message. It calls cancel if the first
// message does not arrive within firstMessageTimeout.
func (ls *Links) openStream(ctx context.Context, cancel context.CancelFunc, client *http.Client, l *link) (*connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], *wirepb.FromAgent, error) {
	timer := time.AfterFunc(firstMessageTimeout, cancel)
	defer timer.Stop()
	stream := wirepb.NewAgentLinkClient(client, "http://"+l.address).Link(ctx)
	first := &wirepb.ToAgent{Entry: ls.EntryIncarnation, EntryAddress: ls.EntryAddress, Agent: l.incarnation, Entries: ls.entries()}
	if err := stream.Send(first); err != nil {
		// The cause of a failed send is returned by the next Receive.
		ls.Log.Debug("sending the first message on an agent link failed", zap.String("agent", l.incarnation), zap.Error(err))
	}
	answer, err := stream.Receive()
	if err != nil {
		return nil, nil, fmt.Errorf("open link to agent at %s: %w", l.address, err)
	}
	if answer.Agent != l.incarnation {
		return nil, nil, errOtherIncarnation
	}
	return stream, answer, nil
}

// readMessages passes the messages of a stream to the listener until a receive
// fails.
func (ls *Links) readMessages(stream *connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], l *link) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return fmt.Errorf("receive from agent at %s: %w", l.address, err)
		}
		ls.Listener.MessageReceived(l.incarnation, msg)
	}
}

// writeMessages sends the messages of a queue until the queue is closed or a
// send fails.
func writeMessages(stream *connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], queue *outbox.Outbox) {
	for {
		batch := queue.Take()
		if batch == nil {
			return
		}
		for _, msg := range batch {
			if err := stream.Send(msg.(*wirepb.ToAgent)); err != nil {
				return
			}
		}
	}
}
