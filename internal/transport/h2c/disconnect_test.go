package h2c_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// A request is read from the receive buffer after its connection has been reset or
// closed.
func TestDisconnectedBeforeRequestIsRead(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(*net.TCPConn) error
		want  bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, false},
		{"reset", func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, true},
		{"closed", func(c *net.TCPConn) error { return c.Close() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			got := make(chan bool, 1)
			s := h2c.NewService(ln, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				got <- h2c.Disconnected(r.Context())
			}))
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				t.Fatal(err)
			}
			if err := test.leave(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			// The connection waits in the accept queue until here.
			go s.Serve(t.Context())
			select {
			case disconnected := <-got:
				if disconnected != test.want {
					t.Errorf("disconnected: %t, want %t", disconnected, test.want)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request was not served within 5s")
			}
		})
	}
}
