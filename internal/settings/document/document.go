// Package document defines the operators' configuration document: its sections,
// their validation, and the immutable value that processes use.
package document

import (
	_ "embed" // the schemas
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

//go:embed sections.schema.json
var schemaText []byte

// Names of the sections. A service team owns the section that starts with
// ServicePrefix and ends with the name of its service.
const (
	Zones         = "zones"
	Endpoints     = "endpoints"
	Capacity      = "capacity"
	Routes        = "routes"
	Limits        = "limits"
	ServicePrefix = "service."
)

// defaultRetryPercent is the retry budget of a service without a section.
const defaultRetryPercent = 10

var schemas = map[string]jsonfile.Schema{
	Zones:         lazySchema("zones"),
	Endpoints:     lazySchema("endpoints"),
	Capacity:      lazySchema("capacity"),
	Routes:        lazySchema("routes"),
	Limits:        lazySchema("limits"),
	ServicePrefix: lazySchema("service"),
}

// lazySchema returns the schema of one kind of section, a definition in
// sections.schema.json.
func lazySchema(kind string) jsonfile.Schema {
	return jsonfile.NewSchema(kind+".schema.json", func() []byte { return sectionSchemaText(kind) })
}

func sectionSchemaText(kind string) []byte {
	var all struct {
		Schema string                     `json:"$schema"`
		Defs   map[string]json.RawMessage `json:"$defs"`
	}
	if err := json.Unmarshal(schemaText, &all); err != nil {
		panic(fmt.Sprintf("sections.schema.json: %v", err))
	}
	text, err := json.Marshal(struct {
		Schema string                     `json:"$schema"`
		Ref    string                     `json:"$ref"`
		Defs   map[string]json.RawMessage `json:"$defs"`
	}{all.Schema, "#/$defs/" + kind, all.Defs})
	if err != nil {
		panic(fmt.Sprintf("sections.schema.json: %v", err))
	}
	return text
}

// ZonesSection lists the availability zones that are out of service.
type ZonesSection struct {
	Out []string `json:"out"`
}

// EndpointsSection lists the endpoints that get no new tasks, by the ids of
// their agents.
type EndpointsSection struct {
	Drained []string `json:"drained"`
}

// CapacitySection holds the quotas of teams.
type CapacitySection struct {
	Teams map[string]Quota `json:"teams"`
}

// Quota limits the tasks of a team across all entries; 0 means no limit.
type Quota struct {
	MaxRunning int `json:"max_running"`
	MaxQueued  int `json:"max_queued"`
}

// ServiceSection holds the settings of one service.
type ServiceSection struct {
	// RetryPercent is the share of repeatable requests that may be retried.
	RetryPercent *int `json:"retry_percent"`
	// ExpectedRunMS is the expected run time of a task that declares none, until
	// a run of its kind was measured.
	ExpectedRunMS int `json:"expected_run_ms"`
}

// LimitsSection holds the limits of requests on the caller listener. 0 stands for the
// default.
type LimitsSection struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// Bounds of the values in a LimitsSection, which its schema repeats.
const (
	MaxLimitHeaderBytes = 512 << 10
	MaxLimitBodyBytes   = 64 << 20
	MaxLimitTimeoutMS   = 3_600_000
)

// RetryRatio returns the retry budget as a share between 0 and 1.
func (s ServiceSection) RetryRatio() float64 {
	if s.RetryPercent == nil {
		return defaultRetryPercent / 100.0
	}
	return float64(*s.RetryPercent) / 100
}

// ExpectedRun returns the expected run time, or 0 if none is set.
func (s ServiceSection) ExpectedRun() time.Duration {
	return time.Duration(s.ExpectedRunMS) * time.Millisecond
}

// Document is the configuration at one version. The zero value is the empty
// document, with every zone and endpoint in service. Documents are immutable.
type Document struct {
	version   uint64
	zones     ZonesSection
	endpoints EndpointsSection
	capacity  CapacitySection
	services  map[string]ServiceSection
	limits    LimitsSection
	routes    map[string][]Route // by host, longest prefix first
}

// Version returns the version of the document.
func (d Document) Version() uint64 { return d.version }

// WithVersion returns the document with another version.
func (d Document) WithVersion(v uint64) Document {
	d.version = v
	return d
}

// Check validates the text of a section that was read from a file, which
// findings name. It returns the same errors as WithSection.
func Check(section, file string, text []byte) error {
	_, err := Document{}.replaceSection(section, file, text)
	return err
}

// WithSection returns the document with one section replaced. For an invalid
// body the error is a *jsonfile.Error that holds every finding, for an unknown
// name it is an *UnknownSectionError.
func (d Document) WithSection(name string, body []byte) (Document, error) {
	return d.replaceSection(name, name, body)
}

func (d Document) replaceSection(name, file string, body []byte) (Document, error) {
	schema, err := sectionSchema(name)
	if err != nil {
		return d, err
	}
	src := jsonfile.Parse(file, body, schema)
	switch name {
	case Zones:
		d.zones = ZonesSection{}
		src.Decode(&d.zones)
	case Endpoints:
		d.endpoints = EndpointsSection{}
		src.Decode(&d.endpoints)
	case Capacity:
		d.capacity = CapacitySection{}
		src.Decode(&d.capacity)
	case Limits:
		d.limits = LimitsSection{}
		src.Decode(&d.limits)
	case Routes:
		var r RoutesSection
		src.Decode(&r)
		d.routes = r.groupByHost()
	default:
		var s ServiceSection
		src.Decode(&s)
		d.services = withService(d.services, strings.TrimPrefix(name, ServicePrefix), s)
	}
	return d, src.Err()
}

// UnknownSectionError is returned for a name that no section can have.
type UnknownSectionError struct{ Name string }

// Error returns a message with the unknown name and the valid ones.
func (e *UnknownSectionError) Error() string {
	return fmt.Sprintf("section %q is unknown: want %s, %s, %s, %s, %s or %sNAME", e.Name, Zones, Endpoints, Capacity, Routes, Limits, ServicePrefix)
}

func sectionSchema(name string) (jsonfile.Schema, error) {
	if schema, ok := schemas[name]; ok && name != ServicePrefix {
		return schema, nil
	}
	if rest, ok := strings.CutPrefix(name, ServicePrefix); ok && rest != "" {
		return schemas[ServicePrefix], nil
	}
	return jsonfile.Schema{}, &UnknownSectionError{Name: name}
}

func withService(old map[string]ServiceSection, name string, s ServiceSection) map[string]ServiceSection {
	services := make(map[string]ServiceSection, len(old)+1)
	for k, v := range old {
		services[k] = v
	}
	services[name] = s
	return services
}

// ZoneOutOfService reports whether an availability zone is out of service.
func (d Document) ZoneOutOfService(zone string) bool { return slices.Contains(d.zones.Out, zone) }

// ZonesOutOfService returns the availability zones that are out of service.
func (d Document) ZonesOutOfService() []string { return slices.Clone(d.zones.Out) }

// EndpointDrained reports whether an endpoint gets no new tasks. The id is that
// of its agent.
func (d Document) EndpointDrained(id string) bool { return slices.Contains(d.endpoints.Drained, id) }

// Quota returns the quota of a team, or the zero value if it has none.
func (d Document) Quota(team string) Quota { return d.capacity.Teams[team] }

// Limits returns the limits of requests on the caller listener.
func (d Document) Limits() LimitsSection { return d.limits }

// Service returns the settings of a service, or the zero value if it has no
// section.
func (d Document) Service(name string) ServiceSection { return d.services[name] }
