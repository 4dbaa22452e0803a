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
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 4 << 20
	// maxSwitchAttempts bounds the attempts to take a zone or an endpoint out of
	// service, or back in, while other edits change the same section.
	maxSwitchAttempts = 20
)

// Endpoint describes one endpoint and the entry's link to its agent.
type Endpoint struct {
	ID            string
	Zone          string
	Service       string
	Address       string
	Slots         int
	Running       int
	Queued        int
	Linked        bool
	OutOfService  bool                   // by the configuration, or because the agent accepts no starts
	ConfigVersion *wirepb.ProcessVersion // in force at the agent
}

// Control is the part of an entry's control state that operators use.
type Control interface {
	// PingAgents pings every linked agent for a load report and waits for the
	// reports.
	PingAgents(ctx context.Context)
	// Endpoints returns the endpoints of the agents that the entry has a record
	// of.
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// Handler implements the operator API.
type Handler struct {
	Self    platform.Peer
	Control Control
	Config  *platform.Config
	Health  *platform.Health
	Peers   *peer.Client
	// NewEditID returns a unique id for an edit that the handler makes itself.
	NewEditID func() string
}

// NewServer returns the HTTP handler of the operator API, which serves vars, the
// counters, at /debug/vars.
func NewServer(h *Handler, vars http.Handler) (http.Handler, error) {
	api, err := operatorapi.NewServer(h)
	if err != nil {
		return nil, fmt.Errorf("create operator API server: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(api, maxBodyBytes))
	mux.Handle("GET /debug/vars", vars)
	return mux, nil
}

// GetConfig returns the configuration document.
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

// EditSection replaces a section of the document.
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

// ListZones returns the availability zones that have endpoints and those that the
// document takes out of service.
func (h *Handler) ListZones(ctx context.Context) ([]operatorapi.Zone, error) {
	endpoints, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	doc := h.Config.Document()
	endpointCounts := map[string]int{}
	for _, z := range doc.ZonesOutOfService() {
		endpointCounts[z] = 0
	}
	for _, e := range endpoints {
		endpointCounts[e.Zone]++
	}
	zones := []operatorapi.Zone{}
	for name, n := range endpointCounts {
		zones = append(zones, operatorapi.Zone{Zone: name, Out: doc.ZoneOutOfService(name), Endpoints: n})
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Zone < zones[j].Zone })
	return zones, nil
}

// SetZone takes an availability zone out of service, or back in.
func (h *Handler) SetZone(ctx context.Context, req *operatorapi.Switch, params operatorapi.SetZoneParams) (*operatorapi.Section, error) {
	return h.updateSection(ctx, document.Zones, req.Author, func(body []byte) ([]byte, error) {
		var s document.ZonesSection
		if err := unmarshalSection(body, &s); err != nil {
			return nil, err
		}
		s.Out = setMembership(s.Out, params.Zone, req.Out)
		return json.Marshal(s)
	})
}

// SetEndpoint drains an endpoint, or puts it back in service.
func (h *Handler) SetEndpoint(ctx context.Context, req *operatorapi.Switch, params operatorapi.SetEndpointParams) (*operatorapi.Section, error) {
	return h.updateSection(ctx, document.Endpoints, req.Author, func(body []byte) ([]byte, error) {
		var s document.EndpointsSection
		if err := unmarshalSection(body, &s); err != nil {
			return nil, err
		}
		s.Drained = setMembership(s.Drained, params.Endpoint, req.Out)
		return json.Marshal(s)
	})
}

// updateSection applies modify to the current body of a section and submits the
// result as an edit. If another edit of the section is accepted in between, it
// starts over, up to maxSwitchAttempts times in all.
func (h *Handler) updateSection(ctx context.Context, section, author string, modify func([]byte) ([]byte, error)) (*operatorapi.Section, error) {
	var conflict *platform.ConflictError
	for range maxSwitchAttempts {
		current, err := h.Config.Section(ctx, section)
		if err != nil {
			return nil, err
		}
		body, err := modify(current.Body)
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

// ListEndpoints returns the endpoints of the agents that this entry has a record
// of.
func (h *Handler) ListEndpoints(ctx context.Context) ([]operatorapi.Endpoint, error) {
	endpoints, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	list := []operatorapi.Endpoint{}
	for _, e := range endpoints {
		list = append(list, operatorapi.Endpoint{
			ID:      e.ID,
			Zone:    e.Zone,
			Service: e.Service,
			Address: e.Address,
			Slots:   e.Slots,
			Running: e.Running,
			Queued:  e.Queued,
			Link:    e.Linked,
			Out:     e.OutOfService,
		})
	}
	return list, nil
}

// GetStatus returns the configuration version in force at every process. It
// requests the versions from the other processes.
func (h *Handler) GetStatus(ctx context.Context) (*operatorapi.Status, error) {
	version := h.Config.Document().Version()
	status := &operatorapi.Status{
		Version:        int64(version),
		TableReachable: h.Health.Available(),
		Processes: []operatorapi.Process{{
			ID:      h.Self.ID,
			Role:    operatorapi.ProcessRoleEntry,
			Zone:    h.Self.Zone,
			Version: int64(version),
		}},
	}
	h.Control.PingAgents(ctx)
	endpoints, err := h.Control.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	agents := map[string]*wirepb.ProcessVersion{}
	for _, e := range endpoints {
		keepHighestVersion(agents, e.ConfigVersion)
	}
	for _, report := range h.Peers.FetchConfigReports(ctx, version, true) {
		status.Processes = append(status.Processes, processOf(report))
		for _, a := range report.Agents {
			keepHighestVersion(agents, a)
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
	slices.SortFunc(status.Processes, compareRoleAndID)
	return status, nil
}

// keepHighestVersion records the configuration version at an agent in the map by
// agent id, unless the map contains the same or a higher version of that agent:
// the reports of several entries on the same agent can differ in age.
func keepHighestVersion(agents map[string]*wirepb.ProcessVersion, a *wirepb.ProcessVersion) {
	if old := agents[a.Id]; old == nil || old.Version < a.Version {
		agents[a.Id] = a
	}
}

// processOf returns the status of the entry that a report is from.
func processOf(report peer.ConfigReport) operatorapi.Process {
	p := operatorapi.Process{
		ID:      report.Peer.ID,
		Role:    operatorapi.ProcessRoleEntry,
		Zone:    report.Peer.Zone,
		Version: int64(report.Version),
	}
	if report.Err != nil {
		p.Problem = operatorapi.NewOptString(report.Err.Error())
	}
	return p
}

// compareRoleAndID orders processes: entries before agents, then by id.
func compareRoleAndID(a, b operatorapi.Process) int {
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

// unmarshalSection decodes the body of a section into out. An empty body, of a
// section that was never written, leaves out unchanged.
func unmarshalSection(body []byte, out any) error {
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode configuration section: %w", err)
	}
	return nil
}

// setMembership returns a sorted copy of list that includes name once, or not at
// all.
func setMembership(list []string, name string, include bool) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	if include {
		list = append(list, name)
	}
	slices.Sort(list)
	if list == nil {
		list = []string{}
	}
	return list
}

// NewError converts an error of a handler into a response.
func (h *Handler) NewError(_ context.Context, err error) *operatorapi.ProblemStatusCode {
	p := &operatorapi.ProblemStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   operatorapi.Problem{Reason: "unavailable", Detail: err.Error()},
	}
	var (
		conflict  *platform.ConflictError
		reused    *platform.EditIDReusedError
		unsettled *platform.UnsettledError
		unknown   *document.UnknownSectionError
		faults    *jsonfile.Error
	)
	switch {
	case errors.Is(err, platform.ErrExternalSource):
		p.StatusCode = http.StatusForbidden
		p.Response.Reason = "external_source"
	case errors.As(err, &conflict):
		p.StatusCode = http.StatusConflict
		p.Response.Reason = "version_conflict"
		p.Response.CurrentVersion = operatorapi.NewOptInt64(int64(conflict.CurrentVersion))
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
