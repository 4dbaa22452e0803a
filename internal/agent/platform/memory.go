// Package platform is the agent's side of the platform's table service: what an
// agent has to know again after a restart.
package platform

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// endpointPrefix starts the keys of the rows of endpoints, by agent id.
const endpointPrefix = "endpoint/"

// Memory keeps the announcement of one agent's endpoint in the table. One
// goroutine uses it.
type Memory struct {
	Table platform.Table
	// ID is the agent's, which is the same after a restart.
	ID string

	version uint64 // of the row, as of the last answer
}

// Recall returns the endpoint that announced itself last, if any did. It may
// have gone since.
func (m *Memory) Recall(ctx context.Context) (endpoint.Announcement, bool, error) {
	found, err := m.Table.Read(ctx, endpointPrefix+m.ID)
	if err != nil || len(found) == 0 {
		return endpoint.Announcement{}, false, err
	}
	m.version = found[0].Version
	var row wirepb.EndpointRow
	if err := proto.Unmarshal(found[0].Value, &row); err != nil {
		return endpoint.Announcement{}, false, fmt.Errorf("row %s: %w", found[0].Key, err)
	}
	return endpoint.Announcement{
		ID:        row.Id,
		StartedMS: row.StartedMs,
		Service:   row.Service,
		Address:   row.Address,
		Slots:     int(row.Slots),
		Capacity:  resources.Of(row.Capacity),
		Labels:    row.Labels,
	}, true, nil
}

// Remember writes the endpoint's announcement.
func (m *Memory) Remember(ctx context.Context, a endpoint.Announcement) error {
	value, err := proto.Marshal(&wirepb.EndpointRow{
		Id:        a.ID,
		StartedMs: a.StartedMS,
		Service:   a.Service,
		Address:   a.Address,
		Slots:     uint32(a.Slots),
		Capacity:  a.Capacity.Wire(),
		Labels:    a.Labels,
	})
	if err != nil {
		return fmt.Errorf("row of endpoint %s: %w", a.ID, err)
	}
	resp, err := m.Table.Commit(ctx, []*tablepb.Write{{Key: endpointPrefix + m.ID, IfVersion: m.version, Value: value}})
	switch {
	case err != nil:
		return err
	case !resp.Committed:
		// An earlier write was applied although its answer was lost.
		m.version = resp.Conflicts[0].Version
		return fmt.Errorf("row of endpoint %s has moved on", a.ID)
	}
	m.version = resp.Versions[0]
	return nil
}
