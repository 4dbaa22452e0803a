package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/standin/table"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// unknownReturn is the return time of an operation that may take effect at any
// later time.
const unknownReturn = 24 * time.Hour

// searchTimeout bounds porcupine's search for a linearization.
const searchTimeout = 20 * time.Second

// serveTable runs a stand-in for the table service and returns its address.
func serveTable(t *testing.T) (*table.Table, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tab := table.New(table.Options{})
	go h2c.NewService(ln, tab.Handler()).Serve(t.Context())
	return tab, ln.Addr().String()
}

func setFaults(t *testing.T, tab *table.Table, f *tablepb.SetFaultsRequest) {
	t.Helper()
	if _, err := tab.SetFaults(t.Context(), connect.NewRequest(f)); err != nil {
		t.Error(err)
	}
}

// injectFaults makes the table lose responses, fail or slow down, for short times,
// until ctx ends.
func injectFaults(ctx context.Context, t *testing.T, tab *table.Table, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+rng.IntN(80)) * time.Millisecond)
		switch rng.IntN(3) {
		case 0:
			setFaults(t, tab, &tablepb.SetFaultsRequest{LoseAnswers: uint32(1 + rng.IntN(2))})
		case 1:
			setFaults(t, tab, &tablepb.SetFaultsRequest{Down: true})
		case 2:
			setFaults(t, tab, &tablepb.SetFaultsRequest{DelayMs: uint32(rng.IntN(60))})
		}
		time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
		setFaults(t, tab, &tablepb.SetFaultsRequest{})
	}
}

// history records operations for porcupine.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) record(client int, input any, call func() any) {
	start := time.Since(h.start)
	output := call()
	end := time.Since(h.start)
	if o, ok := output.(interface{ outcomeUnknown() bool }); ok && o.outcomeUnknown() {
		end = unknownReturn
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: input, Call: start.Nanoseconds(), Output: output, Return: end.Nanoseconds(),
	})
}

func (h *history) check(t *testing.T, model porcupine.NondeterministicModel) {
	t.Helper()
	if result := porcupine.CheckOperationsTimeout(model.ToModel(), h.ops, searchTimeout); result != porcupine.Ok {
		t.Errorf("check of a history of %d operations returned %s, want Ok", len(h.ops), result)
	}
}

// claimOutput is the outcome of a claim: the token that holds the job, or "" if the
// claim failed, in which case it may or may not have been written.
type claimOutput struct{ holder string }

func (o claimOutput) outcomeUnknown() bool { return o.holder == "" }

type claimInput struct {
	job   string
	token string
}

// claimModel models each job as a register that is written at most once.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(in any) string { return in.(claimInput).job })
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		holder, in, out := state.(string), input.(claimInput), output.(claimOutput)
		switch {
		case out.holder == "" && holder == "":
			return []any{"", in.token}
		case out.holder == "":
			return []any{holder}
		case holder == "" && out.holder == in.token:
			return []any{in.token}
		case holder == out.holder:
			return []any{holder}
		}
		return nil
	},
}

func partition(ops []porcupine.Operation, key func(any) string) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range ops {
		byKey[key(op.Input)] = append(byKey[key(op.Input)], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// claimClient writes the claims of one entry and matches the outcomes to them by
// token.
type claimClient struct {
	claims   *platform.Claims
	mu       sync.Mutex
	outcomes map[string]chan caller.Event // by token
}

func newClaimClient(t *testing.T, address string) *claimClient {
	c := &claimClient{outcomes: map[string]chan caller.Event{}}
	health := &platform.Health{Emit: func(caller.Event) {}}
	c.claims = platform.NewClaims(platform.NewTableClient(address, nil), health, zap.NewNop(), c.emit, func(reason.Reason) {})
	go c.claims.ServeWrites(t.Context())
	return c
}

func (c *claimClient) emit(ev caller.Event) {
	token := ""
	switch ev := ev.(type) {
	case caller.ClaimWritten:
		token = ev.Token
	case caller.ClaimFound:
		token = ev.Token
	case caller.ClaimFailed:
		token = ev.Token
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[token] <- ev
}

func (c *claimClient) claim(job, token string) claimOutput {
	done := make(chan caller.Event, 1)
	c.mu.Lock()
	c.outcomes[token] = done
	c.mu.Unlock()
	c.claims.Write(caller.WriteClaim{
		Key: caller.Key{Team: "t", ID: job},
		Row: &wirepb.ClaimRow{Generation: 1, Token: token, Claims: []*wirepb.Claim{{Owner: token}}},
	})
	switch ev := (<-done).(type) {
	case caller.ClaimWritten:
		return claimOutput{token}
	case caller.ClaimFound:
		return claimOutput{ev.Row.Token}
	}
	return claimOutput{}
}

// TestClaimsAreLinearizable checks that claims of the same jobs by 3 concurrent
// entries are linearizable while the table loses responses, slows down and fails.
func TestClaimsAreLinearizable(t *testing.T) {
	t.Parallel()
	tab, address := serveTable(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go injectFaults(ctx, t, tab, 1)
	h := history{start: time.Now()}
	var wait sync.WaitGroup
	for e := range 3 {
		c := newClaimClient(t, address)
		for n := range 4 {
			wait.Go(func() {
				for j := range 60 {
					in := claimInput{job: fmt.Sprintf("j%d", j), token: fmt.Sprintf("e%d/%d/%d", e, n, j)}
					h.record(e*4+n, in, func() any { return c.claim(in.job, in.token) })
				}
			})
		}
	}
	wait.Wait()
	h.check(t, claimModel)
}

// editInput is an edit of a section from a version.
type editInput struct {
	section string
	from    uint64
}

// editOutput is the outcome of an edit: the version that it created, or the current
// version with which it conflicted, or unknown.
type editOutput struct {
	accepted uint64
	current  uint64
	unknown  bool
}

func (o editOutput) outcomeUnknown() bool { return o.unknown }

// editModel models each section as a version that every accepted edit increments.
var editModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(in any) string { return in.(editInput).section })
	},
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(uint64), input.(editInput), output.(editOutput)
		switch {
		case out.unknown && version == in.from:
			return []any{version, version + 1}
		case out.unknown:
			return []any{version}
		case out.accepted > 0 && version == in.from && out.accepted == version+1:
			return []any{out.accepted}
		case out.accepted == 0 && version == out.current && version != in.from:
			return []any{version}
		}
		return nil
	},
}

// newConfig returns the configuration of an entry that can't reach other entries.
// Its clock starts at 0.
func newConfig(address string, emit func(caller.Event)) *platform.Config {
	start := time.Now()
	return &platform.Config{
		Table:  platform.NewTableClient(address, nil),
		Health: &platform.Health{Emit: func(caller.Event) {}},
		Peers:  unreachablePeers{},
		Log:    zap.NewNop(),
		Emit:   emit,
		Now:    func() time.Duration { return time.Since(start) },
	}
}

// unreachablePeers is a PeerSyncer to which no other entry responds.
type unreachablePeers struct{}

func (unreachablePeers) Sync(context.Context, uint64) (uint64, []*wirepb.SectionRow, bool) {
	return 0, nil, false
}

// versionChecker checks that the document versions that an entry applies only
// increase.
type versionChecker struct {
	t    *testing.T
	mu   sync.Mutex
	last uint64
}

func (v *versionChecker) emit(ev caller.Event) {
	c, ok := ev.(caller.ConfigurationLoaded)
	if !ok {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Document.Version() <= v.last {
		v.t.Errorf("version %d applied after %d", c.Document.Version(), v.last)
	}
	v.last = c.Document.Version()
}

// TestEditsAreLinearizable checks that concurrent edits of the same and of different
// sections at 3 entries are linearizable while the table loses responses, slows
// down and fails.
func TestEditsAreLinearizable(t *testing.T) {
	t.Parallel()
	tab, address := serveTable(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go injectFaults(ctx, t, tab, 2)
	h := history{start: time.Now()}
	var operators sync.WaitGroup
	for e := range 3 {
		c := newConfig(address, (&versionChecker{t: t}).emit)
		go c.Serve(ctx)
		for n := range 3 {
			operators.Go(func() {
				section := []string{"zones", "capacity", "service.survey"}[n]
				for i := range 10 {
					recordEdit(ctx, &h, c, e*3+n, section, fmt.Sprintf("edit-%d-%d-%d", e, n, i))
				}
			})
		}
	}
	operators.Wait()
	h.check(t, editModel)
	accepted := 0
	for _, op := range h.ops {
		if op.Output.(editOutput).accepted > 0 {
			accepted++
		}
	}
	t.Logf("%d edits, %d accepted", len(h.ops), accepted)
	if accepted == 0 {
		t.Error("no edit was accepted, want at least one")
	}
}

// recordEdit makes one edit of the section version that is in the table, and
// records it.
func recordEdit(ctx context.Context, h *history, c *platform.Config, client int, section, id string) {
	current, err := c.Section(ctx, section)
	if err != nil {
		return
	}
	in := editInput{section: section, from: current.Version}
	h.record(client, in, func() any {
		accepted, err := c.Edit(ctx, platform.Edit{Section: section, FromVersion: in.from, ID: id, Author: "test", Body: []byte("{}")})
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return editOutput{accepted: accepted.Version}
		case errors.As(err, &conflict):
			return editOutput{current: conflict.CurrentVersion}
		}
		return editOutput{unknown: true}
	})
}

// TestPropagation checks that an accepted edit is in force at every entry within the
// promised bound of 5 s, at 100 times the rate of 7600 edits a day.
func TestPropagation(t *testing.T) {
	t.Parallel()
	const bound = 5 * time.Second
	const interval = 24 * time.Hour / 7600 / 100
	_, address := serveTable(t)
	var entries []*platform.Config
	for range 3 {
		c := newConfig(address, (&versionChecker{t: t}).emit)
		go c.Serve(t.Context())
		entries = append(entries, c)
	}
	var longest time.Duration
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range 40 {
		wait.Go(func() {
			name := fmt.Sprintf("service.s%d", i)
			accepted, err := entries[i%3].Edit(t.Context(), platform.Edit{Section: name, ID: name, Author: "test", Body: []byte("{}")})
			if err != nil {
				t.Error(err)
				return
			}
			elapsed := waitInForce(entries, accepted.DocumentVersion, bound)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, elapsed)
		})
		time.Sleep(interval)
	}
	wait.Wait()
	t.Logf("an edit was in force everywhere after at most %s", longest)
	if longest >= bound {
		t.Errorf("an edit took %s, want less than %s", longest, bound)
	}
}

// waitInForce waits until version or a later one is in force at every entry, at most
// for bound, and returns how long that took.
func waitInForce(entries []*platform.Config, version uint64, bound time.Duration) time.Duration {
	start := time.Now()
	for _, c := range entries {
		for c.Document().Version() < version && time.Since(start) < bound {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
