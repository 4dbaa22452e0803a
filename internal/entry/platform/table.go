// Package platform is the entry's side of the platform's table service:
// claims, rosters, the directory of entries and the configuration rows.
package platform

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const (
	// commitTimeout bounds one commit.
	commitTimeout = time.Second
	// readTimeout bounds one read or scan.
	readTimeout = time.Second
)

// Table is a client of the table service. It is safe for concurrent use.
type Table struct {
	client *http.Client
	rpc    tablepb.TableClient
	// Commits and Reads count the calls made.
	Commits expvar.Int
	Reads   expvar.Int
}

// NewTable returns a client of the service at address.
func NewTable(address string, meter *h2c.Meter) *Table {
	client := h2c.Client(true, meter)
	return &Table{
		client: client,
		rpc:    tablepb.NewTableClient(client, "http://"+address),
	}
}

// Close drops the idle connections.
func (t *Table) Close() { t.client.CloseIdleConnections() }

// commit applies every write or none. After an error the writes may have been
// applied, or may yet be.
func (t *Table) commit(ctx context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t.Commits.Add(1)
	resp, err := t.rpc.Commit(ctx, connect.NewRequest(&tablepb.CommitRequest{Writes: writes}))
	if err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	return resp.Msg, nil
}

// read returns the rows that exist among keys.
func (t *Table) read(ctx context.Context, keys ...string) (rows, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.Reads.Add(1)
	resp, err := t.rpc.Read(ctx, connect.NewRequest(&tablepb.ReadRequest{Keys: keys}))
	if err != nil {
		return nil, fmt.Errorf("table read: %w", err)
	}
	return byKey(resp.Msg.Rows), nil
}

// scan returns the rows whose key starts with prefix.
func (t *Table) scan(ctx context.Context, prefix string) (rows, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.Reads.Add(1)
	resp, err := t.rpc.Scan(ctx, connect.NewRequest(&tablepb.ScanRequest{Prefix: prefix}))
	if err != nil {
		return nil, fmt.Errorf("table scan: %w", err)
	}
	return byKey(resp.Msg.Rows), nil
}

// rows are rows by key.
type rows map[string]*tablepb.Row

func byKey(list []*tablepb.Row) rows {
	all := make(rows, len(list))
	for _, row := range list {
		all[row.Key] = row
	}
	return all
}

// decode fills out from a row and returns the row's version, 0 if it is
// absent.
func (r rows) decode(key string, out proto.Message) (uint64, error) {
	row := r[key]
	if row == nil {
		return 0, nil
	}
	if err := proto.Unmarshal(row.Value, out); err != nil {
		return 0, fmt.Errorf("row %s: %w", key, err)
	}
	return row.Version, nil
}

// write returns a write of a message to a row.
func write(key string, ifVersion uint64, m proto.Message) (*tablepb.Write, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("row %s: %w", key, err)
	}
	return &tablepb.Write{Key: key, IfVersion: ifVersion, Value: value}, nil
}
