// Package platform stores the state that an agent needs after a restart in the
// platform's table service.
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

// endpointKeyPrefix is the prefix of the row keys of endpoints. The id of the
// agent follows.
const endpointKeyPrefix = "endpoint/"

// AnnouncementStore stores the announcement of one agent's endpoint in the
// table. It is not safe for concurrent use.
type AnnouncementStore struct {
	Table platform.Table
	// ID identifies the agent; it stays the same after a restart.
	ID string

	rowVersion uint64 // version of the row in the last response of the table
}

// Load returns the stored announcement, if there is one. The endpoint may have
// left or restarted since it was stored.
func (s *AnnouncementStore) Load(ctx context.Context) (endpoint.Announcement, bool, error) {
	found, err := s.Table.Read(ctx, endpointKeyPrefix+s.ID)
	if err != nil || len(found) == 0 {
		return endpoint.Announcement{}, false, err
	}
	s.rowVersion = found[0].Version
	var row wirepb.EndpointRow
	if err := proto.Unmarshal(found[0].Value, &row); err != nil {
		return endpoint.Announcement{}, false, fmt.Errorf("decode row %s: %w", found[0].Key, err)
	}
	return endpoint.Announcement{
		ID:        row.Id,
		StartedMS: row.StartedMs,
		Service:   row.Service,
		Address:   row.Address,
		Slots:     int(row.Slots),
		Capacity:  resources.FromWire(row.Capacity),
		Labels:    row.Labels,
		Draining:  row.Draining,
	}, true, nil
}

// Save replaces the stored announcement.
func (s *AnnouncementStore) Save(ctx context.Context, a endpoint.Announcement) error {
	value, err := proto.Marshal(&wirepb.EndpointRow{
		Id:        a.ID,
		StartedMs: a.StartedMS,
		Service:   a.Service,
		Address:   a.Address,
		Slots:     uint32(a.Slots),
		Capacity:  a.Capacity.Wire(),
		Labels:    a.Labels,
		Draining:  a.Draining,
	})
	if err != nil {
		return fmt.Errorf("encode row of endpoint %s: %w", a.ID, err)
	}
	resp, err := s.Table.Commit(ctx, []*tablepb.Write{{Key: endpointKeyPrefix + s.ID, IfVersion: s.rowVersion, Value: value}})
	switch {
	case err != nil:
		return err
	case !resp.Committed:
		// The response to an earlier write was lost although the write was
		// applied. The next call uses the version from the conflict.
		s.rowVersion = resp.Conflicts[0].Version
		return fmt.Errorf("row of endpoint %s was changed by another write", a.ID)
	}
	s.rowVersion = resp.Versions[0]
	return nil
}
