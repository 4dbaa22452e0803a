package h2c_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// A caller whose connection is idle when a planned stop begins sends its next
// request at that moment. The connection must not be closed under the request.
func TestDrainClosesNoConnectionUnderARequest(t *testing.T) {
	const callers = 40
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := h2c.NewService(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Serve(ctx)
	var callersDone sync.WaitGroup
	begin := make(chan struct{})
	var warm sync.WaitGroup
	warm.Add(callers)
	for i := range callers {
		callersDone.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			post := func() (closes bool) {
				// A POST is not sent again by the client if its connection breaks.
				resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", nil)
				if err != nil {
					t.Errorf("caller %d: %v", i, err)
					return false
				}
				defer resp.Body.Close()
				_, _ = io.Copy(io.Discard, resp.Body)
				return resp.Close
			}
			post()
			warm.Done()
			<-begin
			time.Sleep(time.Duration(i) * time.Millisecond / 4)
			if !post() {
				post()
			}
		})
	}
	warm.Wait()
	close(begin)
	drainCtx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	drainStart := time.Now()
	s.Drain(drainCtx)
	if took := time.Since(drainStart); took > time.Second {
		t.Errorf("drained after %s, want at most 1s: every caller sends another request", took)
	}
	callersDone.Wait()
}
