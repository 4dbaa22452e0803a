// Package operator serves the operator API: the configuration document,
// availability zones, endpoints and status.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/jx"

	"github.com/savorystair/savorystair/internal/entry/peer"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

const (
	// maxBody bounds a request's body, in bytes.
	maxBody = 4 << 20
	// switchTries bounds the edits that are tried to switch a zone or an
	// endpoint while others edit the same section.
	switchTries = 20
)

// Endpoint is what the entry knows of one endpoint.
type Endpoint struct {
	ID       string
	Zone     string
	Service  string
	Address  string
	Slots    int
	Running  int
	Queued   int
	Linked   bool
	Out      bool
	Versions *wirepb.ProcessVersion
}

// Control is the control state as operators see it.
type Control interface {
	// PingAgents asks every agent for a report and waits for it.
	PingAgents(ctx context.Context)
	// Endpoints returns the endpoints that the entry knows.
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// Handler implements the operator API.
type Handler struct {
	Self    platform.Peer
	Control Control
	Config  *platform.Config
	Health  *platform.Health
	Peers   *peer.Client
	// NewEditID names the edits that the handler makes itself.
	NewEditID func() string
}

// NewServer returns the HTTP handler of the operator API, with the counters
// beside it.
func NewServer(h *Handler, vars http.Handler) (http.Handler, error) {
	api, err := operatorapi.NewServer(h)
	if err != nil {
		return nil, fmt.Errorf("operator API: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(api, maxBody))
	mux.Handle("GET /debug/vars", vars)
	return mux, nil
}

// GetConfig returns the document.
func (h *Handler) GetConfig(ctx context.Context) (*operatorapi.Document, error) {
	version, sections, err := h.Config.Sections(ctx)
	if err != nil {
		return nil, err
	}
	doc := &operatorapi.Document{Version: int64(version), Sections: []operatorapi.Section{}}
	for _, s := range sections {
		doc.Sections = append(doc.Sections, *sectionOf(s))
	}
	sort.Slice(doc.Sections, func(i, j int) bool { return doc.Sections[i].Name < doc.Sections[j].Name })
	return doc, nil
}

// GetHistory returns the latest edits of a section.
func (h *Handler) GetHistory(ctx context.Context, params operatorapi.GetHistoryParams) (operatorapi.History, error) {
	edits, err := h.Config.History(ctx, params.Section)
	if err != nil {
		return nil, err
	}
	history := operatorapi.History{}
	for _, e := range edits {
		history = append(history, operatorapi.EditRecord{
			EditID:   e.EditId,
			Author:   e.Author,
			Version:  int64(e.Version),
			Accepted: time.UnixMilli(e.AcceptedUnixMs).UTC(),
			Body:     jx.Raw(e.Body),
		})
	}
	return history, nil
}

// EditSection replaces a section.
func (h *Handler) EditSection(ctx context.Context, req *operatorapi.Edit, params operatorapi.EditSectionParams) (*operatorapi.Section, error) {
	accepted, err := h.Config.Edit(ctx, platform.Edit{
		Section:     params.Section,
		FromVersion: uint64(req.FromVersion),
		ID:          req.EditID,
		Author:      req.Author,
		Body:        []byte(req.Body),
	})
	if err != nil {
		return nil, err
	}
	return sectionOf(accepted), nil
}

// ListZones returns the availability zones that endpoints or the document
// name.
func (h *Handler) ListZones(ctx context.Context) ([]operatorapi.Zone, error) {
	endpoints, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	doc := h.Config.Document()
	count := map[string]int{}
	for _, z := range doc.ZonesOut() {
		count[z] = 0
	}
	for _, e := range endpoints {
		count[e.Zone]++
	}
	zones := []operatorapi.Zone{}
	for name, n := range count {
		zones = append(zones, operatorapi.Zone{Zone: name, Out: doc.ZoneOut(name), Endpoints: n})
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Zone < zones[j].Zone })
	return zones, nil
}

// SetZone takes an availability zone out of service, or back in.
func (h *Handler) SetZone(ctx context.Context, req *operatorapi.Switch, params operatorapi.SetZoneParams) (*operatorapi.Section, error) {
	return h.change(ctx, document.Zones, req.Author, func(body []byte) ([]byte, error) {
		var s document.ZonesSection
		if err := unmarshal(body, &s); err != nil {
			return nil, err
		}
		s.Out = switched(s.Out, params.Zone, req.Out)
		return json.Marshal(s)
	})
}

// SetEndpoint drains an endpoint, or puts it back in service.
func (h *Handler) SetEndpoint(ctx context.Context, req *operatorapi.Switch, params operatorapi.SetEndpointParams) (*operatorapi.Section, error) {
	return h.change(ctx, document.Endpoints, req.Author, func(body []byte) ([]byte, error) {
		var s document.EndpointsSection
		if err := unmarshal(body, &s); err != nil {
			return nil, err
		}
		s.Drained = switched(s.Drained, params.Endpoint, req.Out)
		return json.Marshal(s)
	})
}

// change makes an edit from whatever version the section has, again if another
// edit comes first.
func (h *Handler) change(ctx context.Context, section, author string, edit func([]byte) ([]byte, error)) (*operatorapi.Section, error) {
	var conflict *platform.ConflictError
	for range switchTries {
		current, err := h.Config.Section(ctx, section)
		if err != nil {
			return nil, err
		}
		body, err := edit(current.Body)
		if err != nil {
			return nil, err
		}
		accepted, err := h.Config.Edit(ctx, platform.Edit{
			Section:     section,
			FromVersion: current.Version,
			ID:          h.NewEditID(),
			Author:      author,
			Body:        body,
		})
		if err == nil {
			return sectionOf(accepted), nil
		}
		if !errors.As(err, &conflict) {
			return nil, err
		}
	}
	return nil, conflict
}

// ListEndpoints returns the endpoints that this entry knows.
func (h *Handler) ListEndpoints(ctx context.Context) ([]operatorapi.Endpoint, error) {
	known, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	list := []operatorapi.Endpoint{}
	for _, e := range known {
		list = append(list, operatorapi.Endpoint{
			ID:      e.ID,
			Zone:    e.Zone,
			Service: e.Service,
			Address: e.Address,
			Slots:   e.Slots,
			Running: e.Running,
			Queued:  e.Queued,
			Link:    e.Linked,
			Out:     e.Out,
		})
	}
	return list, nil
}

// GetStatus returns the version in force at every process, as each says now.
func (h *Handler) GetStatus(ctx context.Context) (*operatorapi.Status, error) {
	version := h.Config.Document().Version()
	status := &operatorapi.Status{
		Version:        int64(version),
		TableReachable: h.Health.Up(),
		Processes: []operatorapi.Process{{
			ID:      h.Self.ID,
			Role:    operatorapi.ProcessRoleEntry,
			Zone:    h.Self.Zone,
			Version: int64(version),
		}},
	}
	h.Control.PingAgents(ctx)
	own, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	agents := map[string]*wirepb.ProcessVersion{}
	for _, e := range own {
		keepNewest(agents, e.Versions)
	}
	for _, v := range h.Peers.FetchConfigReports(ctx, version, true) {
		status.Processes = append(status.Processes, processOf(v))
		for _, a := range v.Agents {
			keepNewest(agents, a)
		}
	}
	for _, a := range agents {
		status.Processes = append(status.Processes, operatorapi.Process{
			ID:      a.Id,
			Role:    operatorapi.ProcessRoleAgent,
			Zone:    a.Zone,
			Version: int64(a.Version),
		})
	}
	slices.SortFunc(status.Processes, byRoleAndID)
	return status, nil
}

// keepNewest notes the highest version that any entry saw at an agent.
func keepNewest(agents map[string]*wirepb.ProcessVersion, a *wirepb.ProcessVersion) {
	if old := agents[a.Id]; old == nil || old.Version < a.Version {
		agents[a.Id] = a
	}
}

func processOf(v peer.ConfigReport) operatorapi.Process {
	p := operatorapi.Process{
		ID:      v.Peer.ID,
		Role:    operatorapi.ProcessRoleEntry,
		Zone:    v.Peer.Zone,
		Version: int64(v.Version),
	}
	if v.Err != nil {
		p.Problem = operatorapi.NewOptString(v.Err.Error())
	}
	return p
}

func byRoleAndID(a, b operatorapi.Process) int {
	switch {
	case a.Role != b.Role && a.Role == operatorapi.ProcessRoleEntry:
		return -1
	case a.Role != b.Role:
		return 1
	case a.ID < b.ID:
		return -1
	default:
		return 1
	}
}

func sectionOf(s *wirepb.SectionRow) *operatorapi.Section {
	return &operatorapi.Section{
		Name:            s.Name,
		Version:         int64(s.Version),
		DocumentVersion: int64(s.DocumentVersion),
		Body:            jx.Raw(s.Body),
	}
}

func unmarshal(body []byte, out any) error {
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("section in the table: %w", err)
	}
	return nil
}

// switched returns list with name in it, or without.
func switched(list []string, name string, in bool) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	if in {
		list = append(list, name)
	}
	slices.Sort(list)
	if list == nil {
		list = []string{}
	}
	return list
}

// NewError turns an error of a handler into a response.
func (h *Handler) NewError(_ context.Context, err error) *operatorapi.ProblemStatusCode {
	p := &operatorapi.ProblemStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   operatorapi.Problem{Reason: "unavailable", Detail: err.Error()},
	}
	var (
		conflict  *platform.ConflictError
		reused    *platform.EditReusedError
		unsettled *platform.UnsettledError
		unknown   *document.UnknownSectionError
		faults    *jsonfile.Error
	)
	switch {
	case errors.As(err, &conflict):
		p.StatusCode = http.StatusConflict
		p.Response.Reason = "version_conflict"
		p.Response.CurrentVersion = operatorapi.NewOptInt64(int64(conflict.Current))
	case errors.As(err, &reused):
		p.StatusCode = http.StatusConflict
		p.Response.Reason = "edit_id_reused"
	case errors.As(err, &unsettled):
		p.Response.Reason = "unsettled"
	case errors.As(err, &unknown):
		p.StatusCode = http.StatusNotFound
		p.Response.Reason = "unknown_section"
	case errors.As(err, &faults):
		p.StatusCode = http.StatusUnprocessableEntity
		p.Response.Reason = "bad_section"
		for _, f := range faults.Findings {
			p.Response.Findings = append(p.Response.Findings, operatorapi.Finding{
				Place:   fmt.Sprintf("%s:%d:%d %s", f.File, f.Line, f.Column, f.Pointer),
				Problem: f.Problem,
			})
		}
	}
	return p
}
