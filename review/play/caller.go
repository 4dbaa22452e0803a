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
	steps    int           // one after the other, each with all tasks
}

// submit submits a job at the entries in turn, until it has an answer or has been sent
// three times. It may be submitted again after a broken connection, no answer, 502 or 504.
func (s *site) submit(client *http.Client, first int, job jobSpec) {
	s.submitAs(client, fmt.Sprintf("%016x", rand.Uint64()), first, job)
}

// submitAs submits a job under an id.
func (s *site) submitAs(client *http.Client, id string, first int, job jobSpec) {
	s.mu.Lock()
	s.jobs[id] = job
	s.mu.Unlock()
	var steps []map[string]any
	for i := range max(1, job.steps) {
		step := map[string]any{
			"count": job.tasks, "cpu": job.cpuMilli, "mem_mb": 64,
			"estimate_ms": job.work.Milliseconds(), "requirements": job.label,
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	body, err := json.Marshal(map[string]any{"spec": "text", "best_effort": true, "steps": steps})
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
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(client.Timeout.Milliseconds()))
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

// cancel cancels a job at one entry, over a connection of its own.
func (s *site) cancel(client *http.Client, entry *host, id string) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+entry.addresses["caller"]+queuePrefix+id, nil)
	if err != nil {
		s.rec.add("job %s: %v", id, err)
		return
	}
	req.Host = queueHost
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("job %s: no answer to its cancelling: %v", id, err)
		return
	}
	resp.Body.Close()
	s.rec.add("job %s: its cancelling at %s is answered with %d", id, entry.name, resp.StatusCode)
	if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusGone {
		s.mu.Lock()
		s.cancelled[id] = time.Now()
		s.mu.Unlock()
	}
}

// sinceCancelled returns the time since the cancelling of a task's job was acknowledged,
// or 0 if it was not.
func (s *site) sinceCancelled(task string) time.Duration {
	id, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.cancelled[id]; ok {
		return time.Since(at)
	}
	return 0
}
