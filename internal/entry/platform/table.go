// Package platform stores an entry's state in the platform's table service:
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

// Table is a client of a table service. It is safe for concurrent use.
type Table interface {
	// Commit applies every write, or none if the condition of one does not hold.
	// After an error the writes may have been applied, or may be applied later.
	Commit(ctx context.Context, writes []*tablepb.Write) (*tablepb.CommitResponse, error)
	// Read returns those rows that exist among keys.
	Read(ctx context.Context, keys ...string) ([]*tablepb.Row, error)
	// Scan returns the rows whose key starts with prefix.
	Scan(ctx context.Context, prefix string) ([]*tablepb.Row, error)
	// Calls returns the counters of commits and of reads, which include scans.
	Calls() (commits, reads *expvar.Int)
	// Close closes the idle connections.
	Close()
}

// TableClient is a Table that uses the protocol in table.proto.
type TableClient struct {
	client  *http.Client
	rpc     tablepb.TableClient
	commits expvar.Int
	reads   expvar.Int
}

// NewTableClient returns a client of the table service at address. The meter, which
// may be nil, counts the bytes that the client sends and receives.
func NewTableClient(address string, meter *h2c.Meter) *TableClient {
	client := h2c.NewClient(true, meter)
	return &TableClient{
		client: client,
		rpc:    tablepb.NewTableClient(client, "http://"+address),
	}
}

// Close closes the idle connections.
func (t *TableClient) Close() { t.client.CloseIdleConnections() }

// Calls returns the counters of commits and of reads, which include scans.
func (t *TableClient) Calls() (commits, reads *expvar.Int) { return &t.commits, &t.reads }

// Commit applies every write, or none if the condition of one does not hold.
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

// rowsByKey maps keys to rows.
type rowsByKey map[string]*tablepb.Row

// readRows returns the rows that exist among keys, by key.
func readRows(ctx context.Context, t Table, keys ...string) (rowsByKey, error) {
	list, err := t.Read(ctx, keys...)
	return indexRowsByKey(list), err
}

// scanRows returns the rows whose key starts with prefix, by key.
func scanRows(ctx context.Context, t Table, prefix string) (rowsByKey, error) {
	list, err := t.Scan(ctx, prefix)
	return indexRowsByKey(list), err
}

func indexRowsByKey(list []*tablepb.Row) rowsByKey {
	all := make(rowsByKey, len(list))
	for _, row := range list {
		all[row.Key] = row
	}
	return all
}

// decode unmarshals the row with the given key into out and returns the row's
// version. If there is no such row, it returns 0 and leaves out unchanged.
func (r rowsByKey) decode(key string, out proto.Message) (uint64, error) {
	row := r[key]
	if row == nil {
		return 0, nil
	}
	if err := proto.Unmarshal(row.Value, out); err != nil {
		return 0, fmt.Errorf("row %s: %w", key, err)
	}
	return row.Version, nil
}

// encodeWrite returns the write of m to the row with the given key, on condition
// that the row has version ifVersion (0: does not exist).
func encodeWrite(key string, ifVersion uint64, m proto.Message) (*tablepb.Write, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("row %s: %w", key, err)
	}
	return &tablepb.Write{Key: key, IfVersion: ifVersion, Value: value}, nil
}
