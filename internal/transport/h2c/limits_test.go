package h2c_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// limitedServer responds with the hash of each body, and counts refusals.
type limitedServer struct {
	service *h2c.Service
	address string

	mu       sync.Mutex
	refusals map[budget.Reason]int
	waits    []time.Duration
}

func startLimited(t *testing.T, process budget.Limits, limits budget.ListenerLimits) *limitedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{address: ln.Addr().String(), refusals: map[budget.Reason]int{}}
	guard := &h2c.Guard{OnRefusal: func(r h2c.Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals[r.Reason]++
	}}
	guard.SetLimits(process)
	s.service = h2c.NewLimitedService(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.waits = append(s.waits, h2c.BodyWait(r.Context()))
		s.mu.Unlock()
		body, err := h2c.ReadBody(r)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(w, "%x", sha256.Sum256(body))
	}), h2c.ServiceOptions{
		Guard: guard, Limits: limits, HTTP1Only: true,
		RefusalBody: func(_ int, detail string) (string, []byte) {
			return "application/json", []byte(`{"error":"` + detail + `"}`)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.service.Serve(ctx)
	return s
}

func (s *limitedServer) refused(reason budget.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals[reason]
}

func (s *limitedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// exchange sends the text on a new connection and returns the first response.
func (s *limitedServer) exchange(t *testing.T, text string) (int, string) {
	t.Helper()
	conn := s.dial(t)
	go func() { _, _ = io.WriteString(conn, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func post(headers, body string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body
}

// Guards against requests over a limit that are read or served, and against requests at
// the limit that are refused.
func TestSizeLimits(t *testing.T) {
	s := startLimited(t, budget.Limits{}, budget.ListenerLimits{}.WithSizes(16384, 262144))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 8000, strings.Repeat("c", 8000))
	exactHead := func(size int) string {
		rest := len(post("X-A: \r\nContent-Length: 2\r\n", ""))
		return post("X-A: "+strings.Repeat("a", size-rest)+"\r\nContent-Length: 2\r\n", "ok")
	}
	full := strings.Repeat("b", 262144)
	for _, test := range []struct {
		name, text string
		status     int
		reason     budget.Reason
	}{
		{"head at the limit", exactHead(16384), 200, budget.None},
		{"head over the limit", exactHead(16385), 431, budget.HeadTooLarge},
		{"endless head", post("X-A: "+strings.Repeat("a", 60000), ""), 431, budget.HeadTooLarge},
		{"endless request line", "GET /" + strings.Repeat("a", 60000), 431, budget.HeadTooLarge},
		{"body at the limit", post("Content-Length: 262144\r\n", full), 200, budget.None},
		{"declared body over the limit", post("Content-Length: 262145\r\n", ""), 413, budget.BodyTooLarge},
		{"expected body over the limit", post("Expect: 100-continue\r\nContent-Length: 262145\r\n", ""), 413, budget.BodyTooLarge},
		{"chunked body below the limit", post("Transfer-Encoding: chunked\r\n", strings.Repeat(chunk, 32)+"0\r\n\r\n"), 200, budget.None},
		{"chunked body at the limit", post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 262144, full)), 200, budget.None},
		{"chunked body one byte over the limit", post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%sx\r\n0\r\n\r\n", 262145, full)), 413, budget.BodyTooLarge},
		{"chunked body over the limit", post("Transfer-Encoding: chunked\r\n", strings.Repeat(chunk, 40)), 413, budget.BodyTooLarge},
		{"invalid chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400, budget.None},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := s.refused(test.reason)
			status, body := s.exchange(t, test.text)
			if status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			if status != 200 && !strings.HasPrefix(body, `{"error":"`) {
				t.Errorf("body %q is not that of the service's errors", body)
			}
			if test.reason != budget.None && s.refused(test.reason) != before+1 {
				t.Errorf("%d refusals are counted as %s, want 1", s.refused(test.reason)-before, test.reason)
			}
		})
	}
	s.service.SetLimits(budget.ListenerLimits{}.WithSizes(16384, 100))
	if status, _ := s.exchange(t, post("Content-Length: 101\r\n", "")); status != 413 {
		t.Errorf("status %d after the limit was lowered, want 413", status)
	}
}

// Guards against bodies that lose or mix bytes when they are buffered in segments, also
// if the next request follows at once, and against a wait that isn't measured.
func TestBodiesArriveComplete(t *testing.T) {
	s := startLimited(t, budget.Limits{}, budget.ListenerLimits{})
	conn := s.dial(t)
	var requests bytes.Buffer
	var want []string
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8193, 200_001} {
		content := bytes.Repeat([]byte{byte('a' + size%26), 'x', 'y'}, size/3+1)[:size]
		want = append(want, fmt.Sprintf("%x", sha256.Sum256(content)), fmt.Sprintf("%x", sha256.Sum256(content)))
		requests.WriteString(post(fmt.Sprintf("Content-Length: %d\r\n", size), string(content)))
		requests.WriteString(post("Transfer-Encoding: chunked\r\n", ""))
		for rest := content; len(rest) > 0; {
			n := min(len(rest), 1000)
			fmt.Fprintf(&requests, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		requests.WriteString("0\r\n\r\n")
	}
	go func() { _, _ = conn.Write(requests.Bytes()) }()
	responses := bufio.NewReader(conn)
	for i, hash := range want {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != hash {
			t.Errorf("response %d is for another body", i)
		}
	}
	// The server has read the head of the last request once it asks for the body.
	const pause = 50 * time.Millisecond
	_, _ = io.WriteString(conn, post("Expect: 100-continue\r\nContent-Length: 2\r\n", ""))
	if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("response %+v, error %v, want status 100", resp, err)
	}
	time.Sleep(pause)
	_, _ = io.WriteString(conn, "ok")
	if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %+v, error %v, want status 200", resp, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.waits[len(s.waits)-1]; last < pause {
		t.Errorf("the last body took %s, want at least %s", last, pause)
	}
}

// Guards against a crowd whose bodies stop short of their end and take the whole memory,
// and against connections that send nothing and take all connections.
func TestStalledCrowdLeavesRoom(t *testing.T) {
	for name, request := range map[string]string{
		"bodies":      post("Content-Length: 262144\r\n", strings.Repeat("b", 262143)),
		"connections": "",
		"heads":       "POST / HTTP/1.1\r\nX-A: " + strings.Repeat("a", 15000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startLimited(t, budget.Limits{}.WithMemoryBytes(2<<20), budget.ListenerLimits{}.WithMaxConns(48))
			for range 60 {
				conn := s.dial(t)
				go func() { _, _ = io.WriteString(conn, request) }()
			}
			time.Sleep(1500 * time.Millisecond)
			deadline := time.Now().Add(10 * time.Second)
			for {
				status, _ := s.exchange(t, post("Content-Length: 5000\r\n", strings.Repeat("o", 5000)))
				if status == 200 {
					break
				}
				if status != 503 || time.Now().After(deadline) {
					t.Fatalf("status %d for an ordinary request, want 200 or at first 503", status)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if s.refused(budget.MemoryBudget)+s.refused(budget.ConnectionLimit) == 0 {
				t.Error("nothing was refused or closed")
			}
		})
	}
}

// Guards against a body that stops and keeps its connection open, and against closing it
// without telling the client that nothing ran.
func TestStoppedBodyIsRefused(t *testing.T) {
	t.Parallel()
	s := startLimited(t, budget.Limits{}, budget.ListenerLimits{})
	if status, _ := s.exchange(t, post("Content-Length: 5000\r\n", strings.Repeat("b", 4999))); status != 408 {
		t.Errorf("status %d, want 408", status)
	}
	if s.refused(budget.BodyTooSlow) != 1 || len(s.waits) != 0 {
		t.Errorf("%d refusals as body_too_slow and %d requests handled, want 1 and none", s.refused(budget.BodyTooSlow), len(s.waits))
	}
}

// Guards against a listener whose limits on time come from the default instead of the
// configuration.
func TestTimeoutsOfTheListener(t *testing.T) {
	t.Parallel()
	s := startLimited(t, budget.Limits{}, budget.ListenerLimits{}.WithTimeouts(time.Second, time.Second))
	for name, text := range map[string]string{"nothing": "", "half a head": "POST / HT", "a request": post("Content-Length: 2\r\n", "ok")} {
		conn := s.dial(t)
		write(t, conn, text)
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%s: the connection was not closed in time: %v", name, err)
		}
	}
	if s.refused(budget.HeadTimeout) != 2 || s.refused(budget.IdleTimeout) != 1 {
		t.Errorf("%d refusals as head_timeout and %d as idle_timeout, want 2 and 1", s.refused(budget.HeadTimeout), s.refused(budget.IdleTimeout))
	}
}

// Guards against messages that are held without a bound while their ends are missing, and
// against a charge for messages of a stream that were read completely.
func TestMessagesOfCallsAreBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 1)
	go h2c.NewLimitedService(ln, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		results <- err
	}), h2c.ServiceOptions{Limits: budget.ListenerLimits{}.WithSizes(0, 1<<20)}).Serve(t.Context())
	small := append([]byte{0, 0, 0, 0x80, 0}, make([]byte, 0x8000)...)
	large := append([]byte{0, 0, 0x20, 0, 0}, make([]byte, 0x200000)...)
	for _, test := range []struct {
		contentType string
		body        []byte
		accepted    bool
	}{
		{"application/connect+proto", bytes.Repeat(small, 100), true},
		{"application/connect+proto", large, false},
		{"application/proto", bytes.Repeat(small, 20), true},
		{"application/proto", bytes.Repeat(small, 100), false},
		{"application/proto", bytes.Repeat(small, 20), true},
	} {
		resp, err := h2c.NewClient(false, nil).Post("http://"+ln.Addr().String(), test.contentType, bytes.NewReader(test.body))
		if err == nil {
			resp.Body.Close()
		}
		if err := <-results; (err == nil) != test.accepted {
			t.Errorf("%s, %d bytes: error %v, want accepted %t", test.contentType, len(test.body), err, test.accepted)
		}
	}
}

// Guards against a burst of callers, below the limit on connections, of which some are
// refused or closed because connections that were closed before still count.
func TestReconnectingBurstIsServed(t *testing.T) {
	s := startLimited(t, budget.Limits{}.WithMemoryBytes(16<<20), budget.ListenerLimits{}.WithMaxConns(360))
	var callers sync.WaitGroup
	for i := range 300 {
		callers.Go(func() {
			for range 4 {
				size := 150 + i*37%4850
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size)))
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
					t.Errorf("response %+v, error %v, want status 200", resp, err)
				}
				conn.Close()
			}
		})
	}
	callers.Wait()
}

// Guards against a time-out that closes a connection between processes although its bytes
// have arrived: the check for unread bytes needs the connection that a meter wraps.
func TestMeteredConnectionsCanBeChecked(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := (&h2c.Meter{}).Listener(ln).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, ok := conn.(syscall.Conn)
	if !ok {
		t.Fatal("the metered connection has no SyscallConn")
	}
	if _, err := raw.SyscallConn(); err != nil {
		t.Error(err)
	}
}
