package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// entryMemoryMB is memory_mb of a front machine.
	entryMemoryMB = 284
	// crowdClients, crowdTasks and crowdSpecBytes describe the crowd: the bodies are
	// just below max_body_bytes (262,144), and the jobs have fewer than the 260 tasks
	// that jobs may have.
	crowdClients   = 30
	crowdTasks     = 250
	crowdSpecBytes = 250_000
	// crowdTime is how long the clients of the crowd go on.
	crowdTime = 20 * time.Second
	// crowdLimit is how long a client of the crowd waits for an answer.
	crowdLimit = 10 * time.Second
	// restartDelay is the time after which the platform restarts a process that was
	// killed.
	restartDelay = 500 * time.Millisecond
	// memoryCheckInterval is how often the platform checks the memory of a process.
	memoryCheckInterval = 10 * time.Millisecond
	// maxEnds and maxEndedMachines are the bounds of the rule on processes that end by
	// themselves.
	maxEnds          = 3
	maxEndedMachines = 2
)

// largeBodies lets a crowd of clients hand in large bodies of legal size, whole. The
// platform kills an entry that exceeds its memory, and starts it again. Without trouble,
// the bodies are as small as those of ordinary callers.
func largeBodies(r *record, trouble bool) ([]string, error) {
	s, err := newSite(3, 3, 1, r)
	defer s.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	specBytes := 500
	if trouble {
		specBytes = crowdSpecBytes
	}
	body, err := json.Marshal(map[string]any{
		"spec": "ms=200 " + strings.Repeat("x", specBytes), "best_effort": true,
		"steps": []map[string]any{{"count": crowdTasks, "cpu": 10, "mem_mb": 1, "estimate_ms": 200}},
	})
	if err != nil {
		return nil, err
	}
	var platform, clients sync.WaitGroup
	ends := make([]int, len(s.entries))
	for i, p := range s.entries {
		platform.Go(func() { ends[i] = s.limitMemory(ctx, p, entryMemoryMB) })
	}
	for c := range crowdClients {
		clients.Go(func() { s.handIn(ctx, c, body) })
	}
	clients.Wait()
	cancel()
	platform.Wait()
	machines := 0
	for i, n := range ends {
		r.add("ends", s.entries[i].name, n)
		if n >= maxEnds {
			machines++
		}
	}
	if machines >= maxEndedMachines {
		return []string{fmt.Sprintf("Fault: the memory of entries was over %d MB, and they ended %v times", entryMemoryMB, ends)}, nil
	}
	return nil, nil
}

// handIn hands in a job until it gets an answer other than 502 or 504. It waits for
// resubmitDelay after no answer or a broken connection.
func (s *site) handIn(ctx context.Context, client int, body []byte) {
	for try := 0; ctx.Err() == nil; try++ {
		a := s.submit(ctx, s.entries[(client+try)%len(s.entries)], fmt.Sprintf("%016x", 1<<32+client), body, crowdLimit)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		select {
		case <-time.After(resubmitDelay * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// limitMemory kills a process when it exceeds a limit and starts it again, until ctx ends.
// It returns how many times it did.
func (s *site) limitMemory(ctx context.Context, p *process, limitMB int) int {
	ends := 0
	for ctx.Err() == nil {
		time.Sleep(memoryCheckInterval)
		used := p.memoryMB()
		if used <= limitMB {
			continue
		}
		ends++
		s.record.add("kill", p.name, "at", used, "MB")
		p.signal(syscall.SIGKILL)
		_ = p.command.Wait()
		time.Sleep(restartDelay)
		if err := p.run(); err != nil {
			s.record.add("error", p.name, err)
			return ends
		}
	}
	return ends
}

// memoryMB returns the memory of a process in megabytes; 0 if it can't be read.
func (p *process) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}
