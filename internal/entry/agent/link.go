package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
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
	// helloTimeout bounds the wait for an agent's first message.
	helloTimeout = 700 * time.Millisecond
	// firstRedial and maxRedial bound the delay between attempts to link.
	firstRedial = 20 * time.Millisecond
	maxRedial   = time.Second
	// goneAfter is how many refused connections in a row show that nothing
	// listens at the agent's address any more.
	goneAfter = 3
)

// errOtherIncarnation says that another run of the agent has taken its place.
var errOtherIncarnation = errors.New("another incarnation answers at the address")

// Listener is told what happens on links. Its methods may block.
type Listener interface {
	LinkUp(incarnation string, info *wirepb.AgentInfo)
	LinkDown(incarnation string, gone bool)
	Said(incarnation string, msg *wirepb.FromAgent)
}

// Links keeps one link to each agent incarnation that it is told to.
type Links struct {
	Entry    string // incarnation of this entry
	Listener Listener
	Log      *zap.Logger
	Meter    *h2c.Meter

	mu    sync.Mutex
	links map[string]*link
	wait  sync.WaitGroup
}

// link is the transport of one link.
type link struct {
	incarnation string
	address     string
	cancel      context.CancelFunc

	mu      sync.Mutex
	outbox  *outbox.Outbox
	session context.CancelFunc
}

// Open keeps a link open until Close or until ctx ends.
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
	ls.wait.Go(func() {
		defer cancel()
		ls.keep(ctx, l)
	})
}

// Close ends a link for good.
func (ls *Links) Close(incarnation string) {
	ls.mu.Lock()
	l := ls.links[incarnation]
	delete(ls.links, incarnation)
	ls.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}

// Reset drops the connection of a link; a new one is opened at once.
func (ls *Links) Reset(incarnation string) {
	if l := ls.get(incarnation); l != nil {
		l.reset()
	}
}

// Send queues a message. It is dropped when the link is down or goes down
// before it is written; LinkUp tells when to send it again.
func (ls *Links) Send(incarnation string, msg *wirepb.ToAgent) {
	l := ls.get(incarnation)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbox.Put(msg)
}

// Wait returns once every link has ended.
func (ls *Links) Wait() { ls.wait.Wait() }

func (ls *Links) get(incarnation string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.links[incarnation]
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session()
	}
}

// begin starts a session with an empty queue.
func (l *link) begin(cancel context.CancelFunc) *outbox.Outbox {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = cancel
	l.outbox = outbox.New()
	return l.outbox
}

// keep opens sessions until ctx ends or the incarnation is gone.
func (ls *Links) keep(ctx context.Context, l *link) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRedial
	delay.MaxInterval = maxRedial
	refused := 0
	for ctx.Err() == nil {
		began := time.Now()
		err := ls.session(ctx, l)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		} else {
			refused = 0
		}
		gone := errors.Is(err, errOtherIncarnation) || refused >= goneAfter
		ls.Log.Info("agent link ended", zap.String("agent", l.incarnation), zap.Bool("gone", gone), zap.Error(err))
		ls.Listener.LinkDown(l.incarnation, gone)
		if gone {
			return
		}
		if time.Since(began) > maxRedial {
			delay.Reset()
		}
		pause.For(ctx, delay.NextBackOff())
	}
}

// session carries one connection of a link. Each has a transport of its own,
// so that a connection that went silent is never used again.
func (ls *Links) session(ctx context.Context, l *link) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, breakAll := h2c.Breakable(ls.Meter)
	defer context.AfterFunc(ctx, breakAll)()
	defer breakAll()
	box := l.begin(cancel)
	defer box.Close()
	stream, first, err := ls.hello(ctx, cancel, client, l)
	if err != nil {
		return err
	}
	ls.Log.Info("agent link opened", zap.String("agent", l.incarnation))
	ls.Listener.LinkUp(l.incarnation, first.Info)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		write(stream, box)
	})
	err = ls.read(stream, l)
	cancel()
	box.Close()
	writer.Wait()
	return err
}

// hello opens a stream, checks who answers, and returns the first message.
func (ls *Links) hello(ctx context.Context, cancel context.CancelFunc, client *http.Client, l *link) (*connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], *wirepb.FromAgent, error) {
	timer := time.AfterFunc(helloTimeout, cancel)
	defer timer.Stop()
	stream := wirepb.NewAgentLinkClient(client, "http://"+l.address).Link(ctx)
	if err := stream.Send(&wirepb.ToAgent{Entry: ls.Entry, Agent: l.incarnation}); err != nil {
		// The reason of a failed send comes with the next receive.
		ls.Log.Debug("send of the first message failed", zap.String("agent", l.incarnation), zap.Error(err))
	}
	first, err := stream.Receive()
	if err != nil {
		return nil, nil, fmt.Errorf("link to %s: %w", l.address, err)
	}
	if first.Agent != l.incarnation {
		return nil, nil, errOtherIncarnation
	}
	return stream, first, nil
}

func (ls *Links) read(stream *connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], l *link) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return fmt.Errorf("receive from %s: %w", l.address, err)
		}
		ls.Listener.Said(l.incarnation, msg)
	}
}

func write(stream *connect.BidiStreamForClient[wirepb.ToAgent, wirepb.FromAgent], box *outbox.Outbox) {
	for {
		batch := box.Take()
		if batch == nil {
			return
		}
		for _, m := range batch {
			if err := stream.Send(m.(*wirepb.ToAgent)); err != nil {
				return
			}
		}
	}
}
