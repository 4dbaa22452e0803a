package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// editTimeout bounds an edit with all its retries.
	editTimeout = 8 * time.Second
	// editRetryDelay is the delay before the first retry of an edit; it grows
	// exponentially.
	editRetryDelay = 10 * time.Millisecond
	// maxHistoryEdits is how many edits the history of a section keeps.
	maxHistoryEdits = 50
)

// Edit is an operator's edit of one section. It is accepted only if the section is
// at version FromVersion. A repeated edit is recognized by its ID.
type Edit struct {
	Section     string
	FromVersion uint64
	ID          string
	Author      string
	Body        []byte
}

// ConflictError reports that an edit was made from a version of its section that
// is not the current one.
type ConflictError struct {
	Section        string
	CurrentVersion uint64
}

// Error returns the section and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s is at version %d; repeat the edit from that version", e.Section, e.CurrentVersion)
}

// EditIDReusedError reports that an edit id was already used for another edit of
// the section.
type EditIDReusedError struct{ ID string }

// Error returns the edit id.
func (e *EditIDReusedError) Error() string {
	return fmt.Sprintf("edit id %s was already used for another edit of the section", e.ID)
}

// UnsettledError reports that it is unknown whether an edit was accepted.
type UnsettledError struct {
	ID    string
	Cause error
}

// Error explains how the operator can find out the outcome of the edit.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is unknown whether the edit was accepted; repeat it with edit id %s to find out: %v", e.ID, e.Cause)
}

// Unwrap returns the last error of the table service.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// ErrExternalSource is returned for an edit if operators keep the document in a
// source of their own: an edit of the table's rows would never be in force.
var ErrExternalSource = errors.New("the configuration is kept outside of savorystair; change it there")

// Edit writes an edit and returns the accepted section once the edit is in the
// table and in force at this entry. Its errors are ErrExternalSource, those of
// document.Check, *ConflictError, *EditIDReusedError and *UnsettledError.
func (c *Config) Edit(ctx context.Context, e Edit) (*wirepb.SectionRow, error) {
	if c.Source != nil {
		return nil, ErrExternalSource
	}
	if err := document.Check(e.Section, e.Section, e.Body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = editRetryDelay
	cause := errors.New("the table service could not be reached")
	for ctx.Err() == nil {
		accepted, err := c.tryEdit(ctx, e)
		var conflict *ConflictError
		var reused *EditIDReusedError
		switch {
		case err == nil && accepted != nil:
			return c.waitUntilInForce(ctx, e, accepted)
		case errors.As(err, &conflict), errors.As(err, &reused):
			return nil, err
		case err != nil:
			cause = err
		}
		pause.For(ctx, delay.NextBackOff())
	}
	return nil, &UnsettledError{ID: e.ID, Cause: cause}
}

// waitUntilInForce waits until this entry's document includes an accepted edit. It
// reads all changes, since edits of other sections may have been accepted before
// this one.
func (c *Config) waitUntilInForce(ctx context.Context, e Edit, accepted *wirepb.SectionRow) (*wirepb.SectionRow, error) {
	for c.Document().Version() < accepted.DocumentVersion {
		err := c.readChanges(ctx)
		if ctx.Err() != nil {
			return nil, &UnsettledError{ID: e.ID, Cause: errors.Join(err, ctx.Err())}
		}
		if err != nil {
			pause.For(ctx, editRetryDelay)
		}
	}
	return accepted, nil
}

// tryEdit tries to write an edit once. It returns no section and no error if
// another edit of the document was committed concurrently.
func (c *Config) tryEdit(ctx context.Context, e Edit) (*wirepb.SectionRow, error) {
	found, err := readRows(ctx, c.Table, versionKey, logKey, sectionKeyPrefix+e.Section, historyKeyPrefix+e.Section)
	if err != nil {
		return nil, err
	}
	var rows editRows
	if err := rows.decode(found, e.Section); err != nil {
		return nil, err
	}
	if accepted, err := rows.findAccepted(e); accepted != nil || err != nil {
		return accepted, err
	}
	if rows.section.Version != e.FromVersion {
		return nil, &ConflictError{Section: e.Section, CurrentVersion: rows.section.Version}
	}
	accepted, writes, err := rows.buildWrites(e)
	if err != nil {
		return nil, err
	}
	resp, err := c.Table.Commit(ctx, writes)
	if err != nil || !resp.Committed {
		return nil, err
	}
	return accepted, nil
}

// editRows holds the rows that an edit reads and writes. The fields ending in
// RowVersion are the versions of the rows in the table, which a commit checks;
// they differ from the versions of the document and its sections.
type editRows struct {
	version           wirepb.VersionRow
	log               wirepb.LogRow
	section           wirepb.SectionRow
	history           wirepb.HistoryRow
	versionRowVersion uint64
	logRowVersion     uint64
	sectionRowVersion uint64
	historyRowVersion uint64
}

func (rows *editRows) decode(found rowsByKey, section string) error {
	var errs [4]error
	rows.versionRowVersion, errs[0] = found.decode(versionKey, &rows.version)
	rows.logRowVersion, errs[1] = found.decode(logKey, &rows.log)
	rows.sectionRowVersion, errs[2] = found.decode(sectionKeyPrefix+section, &rows.section)
	rows.historyRowVersion, errs[3] = found.decode(historyKeyPrefix+section, &rows.history)
	return errors.Join(errs[:]...)
}

// findAccepted returns the section that resulted from edit e if e was already
// accepted, and nil if the history doesn't contain e.
func (rows *editRows) findAccepted(e Edit) (*wirepb.SectionRow, error) {
	for _, r := range rows.history.Edits {
		if r.EditId != e.ID {
			continue
		}
		if r.Version != e.FromVersion+1 || string(r.Body) != string(e.Body) {
			return nil, &EditIDReusedError{ID: e.ID}
		}
		return &wirepb.SectionRow{
			Name:            e.Section,
			Version:         r.Version,
			DocumentVersion: r.DocumentVersion,
			Body:            r.Body,
		}, nil
	}
	return nil, nil
}

// buildWrites returns the section after the edit, and the writes that commit the
// edit.
func (rows *editRows) buildWrites(e Edit) (*wirepb.SectionRow, []*tablepb.Write, error) {
	nextVersion := rows.version.Version + 1
	accepted := &wirepb.SectionRow{
		Name:            e.Section,
		Version:         e.FromVersion + 1,
		DocumentVersion: nextVersion,
		Body:            e.Body,
	}
	rows.log.Records = append(rows.log.Records, &wirepb.LogRecord{Version: nextVersion, Section: e.Section})
	rows.log.Records = rows.log.Records[max(0, len(rows.log.Records)-maxLogRecords):]
	rows.history.Edits = append(rows.history.Edits, &wirepb.EditRecord{
		EditId:          e.ID,
		Author:          e.Author,
		Version:         accepted.Version,
		DocumentVersion: nextVersion,
		AcceptedUnixMs:  time.Now().UnixMilli(),
		Body:            e.Body,
	})
	rows.history.Edits = rows.history.Edits[max(0, len(rows.history.Edits)-maxHistoryEdits):]
	var errs [4]error
	var writes [4]*tablepb.Write
	writes[0], errs[0] = encodeWrite(versionKey, rows.versionRowVersion, &wirepb.VersionRow{Version: nextVersion})
	writes[1], errs[1] = encodeWrite(logKey, rows.logRowVersion, &rows.log)
	writes[2], errs[2] = encodeWrite(sectionKeyPrefix+e.Section, rows.sectionRowVersion, accepted)
	writes[3], errs[3] = encodeWrite(historyKeyPrefix+e.Section, rows.historyRowVersion, &rows.history)
	return accepted, writes[:], errors.Join(errs[:]...)
}

// Sections reads the version of the document and every section from the table.
func (c *Config) Sections(ctx context.Context) (uint64, []*wirepb.SectionRow, error) {
	found, err := scanRows(ctx, c.Table, "config/")
	if err != nil {
		return 0, nil, err
	}
	var version wirepb.VersionRow
	if _, err := found.decode(versionKey, &version); err != nil {
		return 0, nil, err
	}
	var sections []*wirepb.SectionRow
	for key := range found {
		if !strings.HasPrefix(key, sectionKeyPrefix) {
			continue
		}
		var s wirepb.SectionRow
		if _, err := found.decode(key, &s); err != nil {
			return 0, nil, err
		}
		sections = append(sections, &s)
	}
	return version.Version, sections, nil
}

// Section reads one section from the table. Its version is 0 if it was never
// edited.
func (c *Config) Section(ctx context.Context, name string) (*wirepb.SectionRow, error) {
	found, err := readRows(ctx, c.Table, sectionKeyPrefix+name)
	if err != nil {
		return nil, err
	}
	s := wirepb.SectionRow{Name: name}
	_, err = found.decode(sectionKeyPrefix+name, &s)
	return &s, err
}

// History reads the latest edits of a section from the table, newest first.
func (c *Config) History(ctx context.Context, name string) ([]*wirepb.EditRecord, error) {
	found, err := readRows(ctx, c.Table, historyKeyPrefix+name)
	if err != nil {
		return nil, err
	}
	var h wirepb.HistoryRow
	if _, err := found.decode(historyKeyPrefix+name, &h); err != nil {
		return nil, err
	}
	edits := make([]*wirepb.EditRecord, 0, len(h.Edits))
	for i := len(h.Edits) - 1; i >= 0; i-- {
		edits = append(edits, h.Edits[i])
	}
	return edits, nil
}
