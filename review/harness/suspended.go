package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// suspendedJobs is the number of jobs that arrive before the machine is suspended.
	suspendedJobs = 10
	// offProcessor is how long the entry gets no processor time before its machine is
	// suspended: the rest of a tenth of a second in which its allowance is used up.
	offProcessor = 100 * time.Millisecond
	// suspension is how long the machine is suspended.
	suspension = 2900 * time.Millisecond
	// clientLimit is the time limit of clients.
	clientLimit = 1500 * time.Millisecond
)

// suspendedEntry suspends the machine of an entry that has requests in its sockets which
// it has not read. Their clients give up after their time limit and hand the jobs in at
// another entry resubmitDelay later. No task may have two runs at the same time.
func suspendedEntry(r *record, trouble bool) ([]string, error) {
	s, err := newSite(2, 5, 1, r)
	defer s.close()
	if err != nil {
		return nil, err
	}
	front := s.entries[0]
	p, err := newProxy(front.addresses["caller"])
	if err != nil {
		return nil, err
	}
	defer p.close()
	front.addresses["caller"] = p.address()
	if trouble {
		r.add("fault", front.name, "gets no processor time")
		front.signal(syscall.SIGSTOP)
	}
	body := jobBody("ms=900", 1, 2, 900)
	var clients sync.WaitGroup
	for n := range suspendedJobs {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 1<<32+n)
			if a := s.submit(context.Background(), front, id, body, clientLimit); a.status != 0 && a.status != http.StatusGatewayTimeout {
				return
			}
			time.Sleep(resubmitDelay * time.Millisecond)
			s.submit(context.Background(), s.entries[1], id, body, clientLimit)
		})
	}
	time.Sleep(offProcessor)
	if trouble {
		p.suspended.Store(true)
		r.add("fault", front.name, "is suspended")
		time.Sleep(suspension)
		p.suspended.Store(false)
		front.signal(syscall.SIGCONT)
		r.add("fault", front.name, "has woken")
	}
	clients.Wait()
	time.Sleep(time.Second)
	return overlappingRuns(r), nil
}

// overlappingRuns returns the starts of tasks that had another run at the time.
func overlappingRuns(r *record) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	open := map[string]map[string]time.Duration{} // since when, by task and minion
	for _, e := range r.events {
		switch e.kind {
		case "start":
			minion, task := e.fields[0], e.fields[1]
			for other, since := range open[task] {
				broken = append(broken, fmt.Sprintf("TWICE: %s started on %s at %.3f s, and is at work on %s since %.3f s",
					task, minion, e.at.Seconds(), other, since.Seconds()))
			}
			if open[task] == nil {
				open[task] = map[string]time.Duration{}
			}
			open[task][minion] = e.at
		case "end":
			delete(open[e.fields[1]], e.fields[0])
		}
	}
	return broken
}
