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

// Table is a table service. It is safe for concurrent use.
type Table interface {
	// Commit applies every write or none. After an error the writes may have
	// been applied, or may yet be.
	Commit(ctx context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error)
	// Read returns the rows that exist among keys.
	Read(ctx context.Context, keys ...string) ([]*tablepb.Row, error)
	// Scan returns the rows whose key starts with prefix.
	Scan(ctx context.Context, prefix string) ([]*tablepb.Row, error)
	// Calls returns how many commits and reads were made.
	Calls() (commits, reads *expvar.Int)
	// Close drops the idle connections.
	Close()
}

// TableClient is a Table that speaks the table service's own protocol.
type TableClient struct {
	client  *http.Client
	rpc     tablepb.TableClient
	commits expvar.Int
	reads   expvar.Int
}

// NewTable returns a client of the service at address.
func NewTable(address string, meter *h2c.Meter) *TableClient {
	client := h2c.Client(true, meter)
	return &TableClient{
		client: client,
		rpc:    tablepb.NewTableClient(client, "http://"+address),
	}
}

// Close drops the idle connections.
func (t *TableClient) Close() { t.client.CloseIdleConnections() }

// Calls returns how many commits and reads were made.
func (t *TableClient) Calls() (commits, reads *expvar.Int) { return &t.commits, &t.reads }

// Commit applies every write or none.
func (t *TableClient) Commit(ctx context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t.commits.Add(1)
	resp, err := t.rpc.Commit(ctx, connect.NewRequest(&tablepb.CommitRequest{Writes: writes}))
	if err != nil {
		return nil, fmt.Errorf("table commit: %w", err)
	}
	return resp.Msg, nil
}

// Read returns the rows that exist among keys.
func (t *TableClient) Read(ctx context.Context, keys ...string) ([]*tablepb.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.reads.Add(1)
	resp, err := t.rpc.Read(ctx, connect.NewRequest(&tablepb.ReadRequest{Keys: keys}))
	if err != nil {
		return nil, fmt.Errorf("table read: %w", err)
	}
	return resp.Msg.Rows, nil
}

// Scan returns the rows whose key starts with prefix.
func (t *TableClient) Scan(ctx context.Context, prefix string) ([]*tablepb.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t.reads.Add(1)
	resp, err := t.rpc.Scan(ctx, connect.NewRequest(&tablepb.ScanRequest{Prefix: prefix}))
	if err != nil {
		return nil, fmt.Errorf("table scan: %w", err)
	}
	return resp.Msg.Rows, nil
}

// rows are rows by key.
type rows map[string]*tablepb.Row

// readRows returns the rows that exist among keys, by key.
func readRows(ctx context.Context, t Table, keys ...string) (rows, error) {
	list, err := t.Read(ctx, keys...)
	return byKey(list), err
}

// scanRows returns the rows whose key starts with prefix, by key.
func scanRows(ctx context.Context, t Table, prefix string) (rows, error) {
	list, err := t.Scan(ctx, prefix)
	return byKey(list), err
}

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
