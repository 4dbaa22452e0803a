package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// trafficTime is how long clients hand in jobs.
	trafficTime = 20 * time.Second
	// trafficInterval is the time between two jobs.
	trafficInterval = 200 * time.Millisecond
)

// otherWriter sends to each agent, at the interval of heartbeats, one that names a service
// which isn't in the desired state. It names no minion to use, and the others hold, so
// that requests must be served.
func otherWriter(r *record, trouble bool) ([]string, error) {
	s, err := newSite(3, 3, 1, r)
	defer s.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	if trouble {
		writer.Go(func() { s.writeOthers(ctx) })
		time.Sleep(heartbeatInterval)
	}
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for began := time.Now(); time.Since(began) < trafficTime; time.Sleep(trafficInterval) {
		n := sent.Add(1)
		clients.Go(func() {
			a := s.submit(ctx, s.entries[n%3], fmt.Sprintf("%016x", 1<<32+n), jobBody("ms=60", 1, 2, 60), 1500*time.Millisecond)
			if a.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	clients.Wait()
	if served.Load() > 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("Fault: none of %d requests was served in %v", sent.Load(), trafficTime)}, nil
}

// writeOthers sends the heartbeats of another writer until ctx ends.
func (s *site) writeOthers(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for i, p := range s.agents {
			body := fmt.Sprintf(`{"service":"archivo","address":"127.0.0.1:9","zone":%q,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
				`"capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},"labels":["a","r1-3"],"clock_ms":1,"sequence":%d,"born":%d}`, zoneName(i), sequence, born)
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.addresses["endpoint"]+"/savorystair/instances/i-other", strings.NewReader(body))
			if err != nil {
				return
			}
			status := 0
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			s.record.add("other", "PUT i-other to", p.name, status)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}
