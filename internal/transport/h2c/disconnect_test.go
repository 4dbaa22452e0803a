package h2c_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const exampleRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"

// contextServer is a server that reads each request, passes its context on, and
// responds when it is released.
type contextServer struct {
	ln       net.Listener
	contexts chan context.Context
	release  chan struct{}
}

// newContextServer returns a server whose connections wait to be accepted until serve.
func newContextServer(t *testing.T) *contextServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &contextServer{ln: ln, contexts: make(chan context.Context, 4), release: make(chan struct{})}
}

func (s *contextServer) serve(t *testing.T) {
	go h2c.NewService(s.ln, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.contexts <- r.Context()
		<-s.release
	})).Serve(t.Context())
	t.Cleanup(func() { close(s.release) })
}

func (s *contextServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

func (s *contextServer) nextContext(t *testing.T) context.Context {
	t.Helper()
	select {
	case ctx := <-s.contexts:
		return ctx
	case <-time.After(5 * time.Second):
		t.Fatal("no request was served within 5s")
		return nil
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// ways in which a client disconnects.
var disconnects = []struct {
	name       string
	disconnect func(*net.TCPConn)
}{
	{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
	{"closed", func(c *net.TCPConn) { _ = c.Close() }},
	{"half closed", func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// A request is read from the receive buffer after its connection has ended.
func TestDisconnectedBeforeRequestIsRead(t *testing.T) {
	for _, test := range disconnects {
		t.Run(test.name, func(t *testing.T) {
			s := newContextServer(t)
			conn := s.dial(t)
			write(t, conn, exampleRequest)
			test.disconnect(conn)
			s.serve(t)
			if !h2c.Disconnected(s.nextContext(t)) {
				t.Error("not disconnected")
			}
		})
	}
}

// Guards against requests that go on after their connection has ended, since the client
// had sent further bytes.
func TestContextEndsWithTheConnection(t *testing.T) {
	for _, further := range []struct{ name, text string }{
		{"nothing", ""}, {"an empty line", "\r\n"}, {"another request", exampleRequest},
	} {
		for _, test := range disconnects {
			t.Run(further.name+", "+test.name, func(t *testing.T) {
				t.Parallel()
				s := newContextServer(t)
				s.serve(t)
				conn := s.dial(t)
				write(t, conn, exampleRequest)
				ctx := s.nextContext(t)
				write(t, conn, further.text)
				time.Sleep(50 * time.Millisecond)
				if ctx.Err() != nil || h2c.Disconnected(ctx) {
					t.Error("disconnected while the connection is open")
				}
				test.disconnect(conn)
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
					t.Error("the context of the request has not ended within 1s")
				}
			})
		}
	}
}

// Guards against connected clients that are taken for disconnected: with a kept
// connection, and with a request that expects 100-continue.
func TestConnectedClientsAreNotDisconnected(t *testing.T) {
	s := newContextServer(t)
	s.serve(t)
	conn := s.dial(t)
	responses := bufio.NewReader(conn)
	for _, body := range []string{"", "ok"} {
		if body == "" {
			write(t, conn, exampleRequest)
		} else {
			write(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
			if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != http.StatusContinue {
				t.Fatalf("response %+v, error %v, want status 100", resp, err)
			}
			write(t, conn, body)
		}
		ctx := s.nextContext(t)
		time.Sleep(250 * time.Millisecond)
		if ctx.Err() != nil || h2c.Disconnected(ctx) {
			t.Error("disconnected while the connection is open")
		}
		s.release <- struct{}{}
		if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %+v, error %v, want status 200", resp, err)
		}
	}
}

// Guards against requests that are taken for new although they have waited unread.
func TestLastReceivedOfAnUnreadRequest(t *testing.T) {
	const unread = 300 * time.Millisecond
	s := newContextServer(t)
	write(t, s.dial(t), exampleRequest)
	time.Sleep(unread)
	s.serve(t)
	waited := h2c.LastReceived(s.nextContext(t))
	conn := s.dial(t)
	write(t, conn, exampleRequest)
	ctx := s.nextContext(t)
	if fresh := h2c.LastReceived(ctx); waited < unread-50*time.Millisecond || fresh >= unread {
		t.Errorf("received %s before, and %s before for a new request, want %s and less", waited, fresh, unread)
	}
	time.Sleep(unread)
	write(t, conn, "\r\n")
	if since := h2c.LastReceived(ctx); since >= unread {
		t.Errorf("received %s before after the client has sent more", since)
	}
}
