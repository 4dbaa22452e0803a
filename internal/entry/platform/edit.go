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
	// editTimeout bounds the time in which an edit is settled.
	editTimeout = 8 * time.Second
	// editRetry is the first delay before an edit is tried again.
	editRetry = 10 * time.Millisecond
	// maxHistory is how many edits of a section are kept.
	maxHistory = 50
)

// Edit is an operator's edit of one section.
type Edit struct {
	Section     string
	FromVersion uint64
	ID          string
	Author      string
	Body        []byte
}

// ConflictError says that a section has moved on since the edit was made.
type ConflictError struct {
	Section string
	Current uint64
}

// Error names the section and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s is at version %d by now; make the edit again from there", e.Section, e.Current)
}

// EditReusedError says that an edit id was used for another edit.
type EditReusedError struct{ ID string }

// Error names the edit id.
func (e *EditReusedError) Error() string {
	return fmt.Sprintf("edit id %s belongs to another edit of the section", e.ID)
}

// UnsettledError says that the outcome of an edit is not known.
type UnsettledError struct {
	ID    string
	Cause error
}

// Error tells the operator how to settle the edit.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the edit may or may not have been accepted; repeat it with edit id %s to settle it: %v", e.ID, e.Cause)
}

// Unwrap returns the last error of the table service.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// Edit writes an edit and returns the accepted section once the edit is known
// to be in the table and in force at this entry. Its errors are those of
// document.Check, *ConflictError, *EditReusedError and
// *UnsettledError.
func (c *Config) Edit(ctx context.Context, e Edit) (*wirepb.SectionRow, error) {
	if err := document.Check(e.Section, e.Section, e.Body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = editRetry
	cause := errors.New("the table service was not reached")
	for ctx.Err() == nil {
		accepted, err := c.tryEdit(ctx, e)
		var conflict *ConflictError
		var reused *EditReusedError
		switch {
		case err == nil && accepted != nil:
			return c.inForce(ctx, e, accepted)
		case errors.As(err, &conflict), errors.As(err, &reused):
			return nil, err
		case err != nil:
			cause = err
		}
		pause.For(ctx, delay.NextBackOff())
	}
	return nil, &UnsettledError{ID: e.ID, Cause: cause}
}

// inForce waits until this entry's document has reached an accepted edit. The
// document is read as a whole, since an edit of another section may have come
// between.
func (c *Config) inForce(ctx context.Context, e Edit, accepted *wirepb.SectionRow) (*wirepb.SectionRow, error) {
	for c.Document().Version() < accepted.DocumentVersion {
		err := c.refresh(ctx)
		if ctx.Err() != nil {
			return nil, &UnsettledError{ID: e.ID, Cause: errors.Join(err, ctx.Err())}
		}
		if err != nil {
			pause.For(ctx, editRetry)
		}
	}
	return accepted, nil
}

// tryEdit returns no section and no error when another edit of the document
// came first.
func (c *Config) tryEdit(ctx context.Context, e Edit) (*wirepb.SectionRow, error) {
	found, err := readRows(ctx, c.Table, versionKey, logKey, sectionPrefix+e.Section, historyPrefix+e.Section)
	if err != nil {
		return nil, err
	}
	var t editRows
	if err := t.decode(found, e.Section); err != nil {
		return nil, err
	}
	if done, err := t.settled(e); done != nil || err != nil {
		return done, err
	}
	if t.section.Version != e.FromVersion {
		return nil, &ConflictError{Section: e.Section, Current: t.section.Version}
	}
	accepted, writes, err := t.writes(e)
	if err != nil {
		return nil, err
	}
	resp, err := c.Table.Commit(ctx, writes)
	if err != nil || !resp.Committed {
		return nil, err
	}
	return accepted, nil
}

// editRows are the rows that an edit reads and writes, with the rows' own
// versions.
type editRows struct {
	version   wirepb.VersionRow
	log       wirepb.LogRow
	section   wirepb.SectionRow
	history   wirepb.HistoryRow
	versionAt uint64
	logAt     uint64
	sectionAt uint64
	historyAt uint64
}

func (t *editRows) decode(found rows, section string) error {
	var errs [4]error
	t.versionAt, errs[0] = found.decode(versionKey, &t.version)
	t.logAt, errs[1] = found.decode(logKey, &t.log)
	t.sectionAt, errs[2] = found.decode(sectionPrefix+section, &t.section)
	t.historyAt, errs[3] = found.decode(historyPrefix+section, &t.history)
	return errors.Join(errs[:]...)
}

// settled returns what became of an edit that was accepted before.
func (t *editRows) settled(e Edit) (*wirepb.SectionRow, error) {
	for _, r := range t.history.Edits {
		if r.EditId != e.ID {
			continue
		}
		if r.Version != e.FromVersion+1 || string(r.Body) != string(e.Body) {
			return nil, &EditReusedError{ID: e.ID}
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

// writes returns the section after the edit and the writes that bring it.
func (t *editRows) writes(e Edit) (*wirepb.SectionRow, []*tablepb.Write, error) {
	next := t.version.Version + 1
	accepted := &wirepb.SectionRow{
		Name:            e.Section,
		Version:         e.FromVersion + 1,
		DocumentVersion: next,
		Body:            e.Body,
	}
	t.log.Records = append(t.log.Records, &wirepb.LogRecord{Version: next, Section: e.Section})
	t.log.Records = t.log.Records[max(0, len(t.log.Records)-maxLog):]
	t.history.Edits = append(t.history.Edits, &wirepb.EditRecord{
		EditId:          e.ID,
		Author:          e.Author,
		Version:         accepted.Version,
		DocumentVersion: next,
		AcceptedUnixMs:  time.Now().UnixMilli(),
		Body:            e.Body,
	})
	t.history.Edits = t.history.Edits[max(0, len(t.history.Edits)-maxHistory):]
	var errs [4]error
	var all [4]*tablepb.Write
	all[0], errs[0] = write(versionKey, t.versionAt, &wirepb.VersionRow{Version: next})
	all[1], errs[1] = write(logKey, t.logAt, &t.log)
	all[2], errs[2] = write(sectionPrefix+e.Section, t.sectionAt, accepted)
	all[3], errs[3] = write(historyPrefix+e.Section, t.historyAt, &t.history)
	return accepted, all[:], errors.Join(errs[:]...)
}

// Sections returns every section as the table service holds it, with the
// version of the document.
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
		if !strings.HasPrefix(key, sectionPrefix) {
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

// Section returns one section as the table service holds it; its version is 0
// if it was never edited.
func (c *Config) Section(ctx context.Context, name string) (*wirepb.SectionRow, error) {
	found, err := readRows(ctx, c.Table, sectionPrefix+name)
	if err != nil {
		return nil, err
	}
	s := wirepb.SectionRow{Name: name}
	_, err = found.decode(sectionPrefix+name, &s)
	return &s, err
}

// History returns the latest edits of a section, newest first.
func (c *Config) History(ctx context.Context, name string) ([]*wirepb.EditRecord, error) {
	found, err := readRows(ctx, c.Table, historyPrefix+name)
	if err != nil {
		return nil, err
	}
	var h wirepb.HistoryRow
	if _, err := found.decode(historyPrefix+name, &h); err != nil {
		return nil, err
	}
	newest := make([]*wirepb.EditRecord, 0, len(h.Edits))
	for i := len(h.Edits) - 1; i >= 0; i-- {
		newest = append(newest, h.Edits[i])
	}
	return newest, nil
}
