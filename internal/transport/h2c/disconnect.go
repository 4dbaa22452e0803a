package h2c

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in the context of the request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Disconnected reports whether the client of an HTTP/1 request has closed or reset its
// connection, as far as the kernel knows. The context of a request ends only some time
// after that. Disconnected is false for a context that doesn't belong to a request to a
// Service.
func Disconnected(ctx context.Context) bool {
	disconnected := false
	known, err := control(ctx, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		disconnected = err == nil && n > 0
	})
	return known && (err != nil || disconnected)
}

// LastReceived returns the time since the client of an HTTP/1 request last sent
// something, by a clock that stands still while the host is suspended. For a request that
// has waited in the receive buffer, it is the time since it arrived. It is 0 if the kernel
// doesn't say, and for a context that doesn't belong to a request to a Service.
func LastReceived(ctx context.Context) time.Duration {
	var since time.Duration
	// Errors mean that the time is not known.
	_, _ = control(ctx, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// control calls f with the file descriptor of the connection of a request. It reports
// whether the context belongs to a request to a Service. An error means that the
// connection was closed.
func control(ctx context.Context, f func(fd int)) (known bool, err error) {
	guarded, ok := ctx.Value(connKey{}).(*guardedConn)
	if !ok {
		return false, nil
	}
	conn, ok := guarded.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}

// disconnectCheckInterval is how often the connections of open requests are checked.
const disconnectCheckInterval = 100 * time.Millisecond

// openRequests ends the contexts of HTTP/1 requests whose clients have disconnected.
// net/http does so as well, but only as long as the client has sent nothing after its
// request. The zero value has no requests.
type openRequests struct {
	mu       sync.Mutex
	requests map[*http.Request]context.CancelFunc
	checking bool // whether the next check is scheduled
}

// handler returns a handler whose requests are checked until next has returned.
func (o *openRequests) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		o.add(r, cancel)
		defer o.remove(r)
		next.ServeHTTP(w, r)
	})
}

func (o *openRequests) add(r *http.Request, cancel context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = map[*http.Request]context.CancelFunc{}
	}
	o.requests[r] = cancel
	o.scheduleCheck()
}

func (o *openRequests) remove(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, r)
}

// scheduleCheck schedules the next check if there are requests. The caller holds the
// lock.
func (o *openRequests) scheduleCheck() {
	if !o.checking && len(o.requests) > 0 {
		o.checking = true
		time.AfterFunc(disconnectCheckInterval, o.check)
	}
}

func (o *openRequests) check() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for r, cancel := range o.requests {
		if Disconnected(r.Context()) {
			cancel()
		}
	}
	o.checking = false
	o.scheduleCheck()
}
