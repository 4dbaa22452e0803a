package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// cancelTime and stopTime are cancel_ms and stop_timeout_ms.
	cancelTime = 3 * time.Second
	stopTime   = 50 * time.Millisecond
)

// cancelledJob hands in a job of eight steps of 900 ms, and cancels it by a DELETE at the
// same entry while the second step runs. No task may start later than cancelTime after
// the answer to the DELETE, nor run on for stopTime after that.
func cancelledJob(r *record, trouble bool) ([]string, error) {
	s, err := newSite(1, 3, 1, r)
	defer s.close()
	if err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	done := make(chan answer, 1)
	go func() {
		done <- s.submit(context.Background(), s.entries[0], id, jobBody("ms=900", 8, 2, 900), 12*time.Second)
	}()
	time.Sleep(1200 * time.Millisecond)
	if !trouble {
		if a := <-done; a.status != http.StatusOK || !strings.Contains(a.body, "completed") {
			return nil, fmt.Errorf("the job was not completed without trouble: %d %s", a.status, a.body)
		}
		return nil, nil
	}
	a := s.call(context.Background(), http.MethodDelete, s.entries[0], pathPrefix(0)+id, nil, 4*time.Second)
	if a.status/100 != 2 && a.status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was not acknowledged: %d %s", a.status, a.body)
	}
	acknowledged := time.Since(r.began)
	<-done
	var broken []string
	for _, e := range r.list("start") {
		if strings.HasPrefix(e.fields[1], id) && e.at > acknowledged+cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %s started on %s %.3f s after the cancelling was acknowledged with %d",
				e.fields[1], e.fields[2], e.fields[0], (e.at-acknowledged).Seconds(), a.status))
		}
	}
	for _, e := range r.list("end") {
		if strings.HasPrefix(e.fields[1], id) && e.at > acknowledged+cancelTime+stopTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %s was still at work on %s %.3f s after the cancelling was acknowledged with %d",
				e.fields[1], e.fields[2], e.fields[0], (e.at-acknowledged).Seconds(), a.status))
		}
	}
	return broken, nil
}
