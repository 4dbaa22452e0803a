package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// losingTable is a table that applies commits but loses the first answers. It calls
// onLoss after each.
type losingTable struct {
	platform.Table
	answersToLose int
	onLoss        func()
}

func (t *losingTable) Commit(ctx context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error) {
	resp, err := t.Table.Commit(ctx, writes)
	if t.answersToLose > 0 {
		t.answersToLose--
		t.onLoss()
		return nil, errors.New("the answer was lost")
	}
	return resp, err
}

// An entry whose last heartbeat was written without an answer knows an old version
// of its row. It must mark the row as leaving nevertheless, or others count it as
// live for 17 s.
func TestLeaveAfterLostAnswer(t *testing.T) {
	t.Parallel()
	_, address := serveTable(t)
	serveCtx, stopServe := context.WithCancel(t.Context())
	table := &losingTable{Table: platform.NewTableClient(address, nil), answersToLose: 1, onLoss: stopServe}
	leaving := &platform.Directory{
		Table: table, Self: platform.Peer{Incarnation: "a.1", ID: "a", Region: "r", Address: "a"},
		Log: zap.NewNop(), Emit: func(caller.Event) {},
	}
	if err := leaving.Serve(serveCtx); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	leaving.Leave(ctx)
	entries, err := platform.ReadEntries(t.Context(), platform.NewTableClient(address, nil))
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 0 {
		t.Errorf("entries %v are not leaving, want none", entries)
	}
}

// staticSource is a document that operators keep outside of the table.
type staticSource struct{ platform.Source }

// An edit through the operator API can't take effect while operators keep the
// document elsewhere, and must not be reported as accepted.
func TestEditBesideAnExternalSource(t *testing.T) {
	t.Parallel()
	_, address := serveTable(t)
	c := &platform.Config{Table: platform.NewTableClient(address, nil), Source: staticSource{}, Log: zap.NewNop(), Emit: func(caller.Event) {}}
	section, err := c.Edit(t.Context(), platform.Edit{Section: "zones", ID: "x", Author: "o", Body: []byte(`{"out":["z"]}`)})
	if !errors.Is(err, platform.ErrExternalSource) {
		t.Errorf("edit returned %v and error %v, want ErrExternalSource", section, err)
	}
}
