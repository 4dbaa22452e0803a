package platform_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	agentplatform "github.com/savorystair/savorystair/internal/agent/platform"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// rowTable is a table of one row.
type rowTable struct {
	platform.Table
	row *tablepb.Row
}

func (r *rowTable) Read(context.Context, ...string) ([]*tablepb.Row, error) {
	if r.row == nil {
		return nil, nil
	}
	return []*tablepb.Row{r.row}, nil
}

func (r *rowTable) Commit(_ context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error) {
	r.row = &tablepb.Row{Key: writes[0].Key, Value: writes[0].Value, Version: 1}
	return &tablepb.CommitResponse{Committed: true, Versions: []uint64{1}}, nil
}

// Guards against tasks that start on an endpoint that drains, or by other labels and
// resources than it has, after its agent was restarted.
func TestAnnouncementIsRestoredAsStored(t *testing.T) {
	table := &rowTable{}
	want := endpoint.Announcement{
		ID: "i", StartedMS: 5, Service: "s", Address: "127.0.0.1:1", Slots: 8, Draining: true,
		Capacity: resources.Resources{CPUMilli: 1, MemoryMB: 2, GPUs: 3}, Labels: []string{"a", "r"},
	}
	if err := (&agentplatform.AnnouncementStore{Table: table, ID: "h"}).Save(t.Context(), want); err != nil {
		t.Fatal(err)
	}
	got, found, err := (&agentplatform.AnnouncementStore{Table: table, ID: "h"}).Load(t.Context())
	if err != nil || !found {
		t.Fatalf("load: found %t, error %v", found, err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stored and loaded announcements differ (-want +got):\n%s", diff)
	}
}
