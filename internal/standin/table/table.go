// Package table is a stand-in for the platform's table service. It stores rows in
// memory, applies commits one at a time, and injects faults on request. By
// default its commit time and rate limits are those of the platform's service.
package table

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// defaultCommitTime is the duration of a commit, which is one synced write to
	// disk.
	defaultCommitTime = 4 * time.Millisecond
	// defaultCommitsPerSecond is the rate limit of commits.
	defaultCommitsPerSecond = 400
	// defaultReadsPerSecond is the rate limit of reads and scans together.
	defaultReadsPerSecond = 2000
)

// errServiceDown is returned by every call while the fault "down" is set.
var errServiceDown = errors.New("the table service is down")

// Options set the duration of commits and the rate limits. Zero values stand for
// those of the platform's table service.
type Options struct {
	CommitTime       time.Duration
	CommitsPerSecond int
	ReadsPerSecond   int
}

// Table implements the Table and TableFaults services.
type Table struct {
	commitTime time.Duration
	commits    *rate.Limiter
	reads      *rate.Limiter

	mu     sync.Mutex
	rows   map[string]*tablepb.Row
	faults *tablepb.SetFaultsRequest
	stats  Stats
}

// Stats counts the calls that were executed and the rows that were written.
// Reads includes scans.
type Stats struct {
	Commits int
	Writes  int
	Reads   int
}

// New returns an empty table.
func New(o Options) *Table {
	if o.CommitTime == 0 {
		o.CommitTime = defaultCommitTime
	}
	if o.CommitsPerSecond == 0 {
		o.CommitsPerSecond = defaultCommitsPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	return &Table{
		commitTime: o.CommitTime,
		commits:    rate.NewLimiter(rate.Limit(o.CommitsPerSecond), o.CommitsPerSecond/10+1),
		reads:      rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond/10+1),
		rows:       map[string]*tablepb.Row{},
		faults:     &tablepb.SetFaultsRequest{},
	}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(_ context.Context, req *connect.Request[tablepb.SetFaultsRequest]) (*connect.Response[tablepb.SetFaultsResponse], error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = req.Msg
	return connect.NewResponse(&tablepb.SetFaultsResponse{}), nil
}

// Stats returns the counts so far.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Commit applies every write, or none if the condition of any write fails.
func (t *Table) Commit(ctx context.Context, req *connect.Request[tablepb.CommitRequest]) (*connect.Response[tablepb.CommitResponse], error) {
	if err := checkKeys(req.Msg); err != nil {
		return nil, err
	}
	if err := t.admit(ctx, t.commits); err != nil {
		return nil, err
	}
	if err := sleep(ctx, t.commitTime); err != nil {
		return nil, err
	}
	resp, lost := t.apply(req.Msg)
	if lost {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("response lost"))
	}
	return connect.NewResponse(resp), nil
}

// checkKeys returns an error if a commit writes a row twice.
func checkKeys(req *tablepb.CommitRequest) error {
	seen := map[string]bool{}
	for _, w := range req.Writes {
		if seen[w.Key] {
			return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("row %s is written twice", w.Key))
		}
		seen[w.Key] = true
	}
	return nil
}

// Read returns the rows that exist among the named keys.
func (t *Table) Read(ctx context.Context, req *connect.Request[tablepb.ReadRequest]) (*connect.Response[tablepb.ReadResponse], error) {
	if err := t.admit(ctx, t.reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	resp := &tablepb.ReadResponse{}
	for _, key := range req.Msg.Keys {
		if row, ok := t.rows[key]; ok {
			resp.Rows = append(resp.Rows, row)
		}
	}
	return connect.NewResponse(resp), nil
}

// Scan returns the rows whose key starts with a prefix, in key order.
func (t *Table) Scan(ctx context.Context, req *connect.Request[tablepb.ScanRequest]) (*connect.Response[tablepb.ScanResponse], error) {
	if err := t.admit(ctx, t.reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	resp := &tablepb.ScanResponse{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, req.Msg.Prefix) {
			resp.Rows = append(resp.Rows, row)
		}
	}
	sort.Slice(resp.Rows, func(i, j int) bool { return resp.Rows[i].Key < resp.Rows[j].Key })
	return connect.NewResponse(resp), nil
}

// admit applies the injected faults to a call and waits for the rate limiter.
func (t *Table) admit(ctx context.Context, limiter *rate.Limiter) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Down {
		return connect.NewError(connect.CodeUnavailable, errServiceDown)
	}
	if faults.Silent {
		<-ctx.Done()
		return connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	if err := sleep(ctx, time.Duration(faults.DelayMs)*time.Millisecond); err != nil {
		return err
	}
	if err := limiter.Wait(ctx); err != nil {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return nil
}

// apply executes a commit and returns its response, and whether the response has
// to be withheld as an injected fault.
func (t *Table) apply(req *tablepb.CommitRequest) (resp *tablepb.CommitResponse, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resp = &tablepb.CommitResponse{Conflicts: t.findConflicts(req)}
	if len(resp.Conflicts) > 0 {
		return resp, false
	}
	for _, w := range req.Writes {
		resp.Versions = append(resp.Versions, t.write(w))
	}
	t.stats.Commits++
	t.stats.Writes += len(req.Writes)
	resp.Committed = true
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		lost = true
	}
	return resp, lost
}

// findConflicts returns the current rows of the writes whose condition fails. A
// row that does not exist has version 0.
func (t *Table) findConflicts(req *tablepb.CommitRequest) []*tablepb.Row {
	var found []*tablepb.Row
	for _, w := range req.Writes {
		row := t.rows[w.Key]
		if row.GetVersion() == w.IfVersion {
			continue
		}
		if row == nil {
			row = &tablepb.Row{Key: w.Key}
		}
		found = append(found, row)
	}
	return found
}

// write applies one write and returns the row's new version.
func (t *Table) write(w *tablepb.Write) uint64 {
	if w.Remove {
		delete(t.rows, w.Key)
		return 0
	}
	t.rows[w.Key] = &tablepb.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value}
	return w.IfVersion + 1
}

// sleep waits for d. If the call is cancelled meanwhile, it returns an error with
// the code unavailable.
func sleep(ctx context.Context, d time.Duration) error {
	if err := pause.For(ctx, d); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}
