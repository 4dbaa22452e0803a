package h2c

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in the context of the request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Disconnected reports whether the client of an HTTP/1 request has closed or reset its
// connection, as far as the kernel knows. The context of a request ends only some time
// after that, once the server has read the connection's state. Disconnected is false for
// a context that doesn't belong to a request to a Service.
func Disconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		disconnected = err == nil && n > 0
	})
	return err != nil || disconnected
}
