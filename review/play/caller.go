package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// jobSpec is what a caller knows of a job that it submits.
type jobSpec struct {
	tasks    int
	cpuMilli int
	work     time.Duration // of each task
	label    string        // that the endpoint must have
}

// submit submits a job at the entries in turn, until it has an answer or has been sent
// three times. It may be submitted again after a broken connection, no answer, 502 or 504.
func (s *site) submit(client *http.Client, first int, job jobSpec) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	s.mu.Lock()
	s.jobs[id] = job
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"spec": "text", "best_effort": true,
		"steps": []map[string]any{{
			"count": job.tasks, "cpu": job.cpuMilli, "mem_mb": 64,
			"estimate_ms": job.work.Milliseconds(), "requirements": job.label,
		}},
	})
	if err != nil {
		s.rec.add("job %s: %v", id, err)
		return
	}
	for attempt := range 3 {
		entry := s.entries[(first+attempt)%len(s.entries)]
		if s.send(client, entry, id, body) {
			return
		}
		time.Sleep(retransmitMS * time.Millisecond)
	}
}

// send sends a job to one entry, and reports whether the caller is done with it.
func (s *site) send(client *http.Client, entry *host, id string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.addresses["caller"]+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		s.rec.add("job %s: %v", id, err)
		return true
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	s.rec.add("job %s: sent to %s", id, entry.name)
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("job %s: no answer: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.rec.add("job %s: no whole answer: %v", id, err)
		return false
	}
	s.rec.addAnswer(id, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout
}

// load submits jobs at an even rate for some time.
func (s *site) load(perSecond int, length time.Duration, job jobSpec) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range int(length.Seconds() * float64(perSecond)) {
		<-ticker.C
		s.work.Go(func() { s.submit(client, i, job) })
	}
	s.work.Wait()
	client.CloseIdleConnections()
}
