// Package jsonfile reads hand-written JSON documents. It validates them against
// a schema and reports every finding with its line and column.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Finding is one error in a document. Line and Column count from 1, the column
// in bytes.
type Finding struct {
	File    string
	Line    int
	Column  int
	Pointer string // JSON pointer to the invalid value
	Problem string
}

// String returns the finding as file:line:column: pointer: problem.
func (f Finding) String() string {
	at := f.Pointer
	if at == "" {
		at = "/"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, at, f.Problem)
}

// Error holds every finding in one document, in the order of line and column.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Source is the text of a document, the offset of each value in it, and the
// findings so far.
type Source struct {
	file     string
	text     []byte
	offsets  offsetIndex
	findings []Finding
}

// Schema is a JSON schema. It is compiled on first use, since that takes longer than
// the rest of a process's start.
type Schema struct {
	compiled func() *jsonschema.Schema
}

// NewSchema returns the schema with the given text. Its first use panics if it is
// not valid, which is a fault of the program, since schemas are embedded in it. The
// format "ip_port" accepts an IP address with a port.
func NewSchema(name string, text func() []byte) Schema {
	return Schema{compiled: sync.OnceValue(func() *jsonschema.Schema { return mustCompile(name, text()) })}
}

func mustCompile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "ip_port", Validate: checkIPPort})
	c.AssertFormat()
	if err := c.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return c.MustCompile(name)
}

func checkIPPort(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("want an IP number and a port, such as 127.0.0.1:7000")
	}
	return nil
}

// Parse validates text against schema. The returned source collects the
// findings; Err returns them as an error.
func Parse(file string, text []byte, schema Schema) *Source {
	s := &Source{file: file, text: text, offsets: offsetIndex{}}
	s.offsets.root = valueOffsets{}
	if err := s.indexOffsets(); err != nil {
		return s
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		s.addFinding(valueOffsets{}, "", err.Error())
		return s
	}
	if err := schema.compiled().Validate(doc); err != nil {
		s.addValidationError(err)
	}
	return s
}

// Decode decodes the document into out. It does nothing if there are findings.
func (s *Source) Decode(out any) {
	if len(s.findings) > 0 {
		return
	}
	if err := json.Unmarshal(s.text, out); err != nil {
		s.addFinding(valueOffsets{}, "", err.Error())
	}
}

// AddFinding records a problem with the value at a JSON pointer.
func (s *Source) AddFinding(pointer, problem string) {
	s.addFinding(s.offsets.lookup(pointer), pointer, problem)
}

// Err returns an *Error that holds every finding, or nil if there is none.
func (s *Source) Err() error {
	if len(s.findings) == 0 {
		return nil
	}
	sort.SliceStable(s.findings, func(i, j int) bool {
		a, b := s.findings[i], s.findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return &Error{Findings: s.findings}
}

func (s *Source) addFinding(at valueOffsets, pointer, problem string) {
	line, column := lineAndColumn(s.text, at.value)
	s.findings = append(s.findings, Finding{
		File:    s.file,
		Line:    line,
		Column:  column,
		Pointer: pointer,
		Problem: problem,
	})
}

func (s *Source) addValidationError(err error) {
	v, ok := err.(*jsonschema.ValidationError)
	if !ok {
		s.addFinding(valueOffsets{}, "", err.Error())
		return
	}
	s.addValidationCauses(v)
}

func (s *Source) addValidationCauses(v *jsonschema.ValidationError) {
	for _, c := range v.Causes {
		s.addValidationCauses(c)
	}
	if len(v.Causes) > 0 {
		return
	}
	pointer := joinPointer(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			at := pointer + "/" + escapePointerPart(name)
			s.addFinding(s.offsets.lookupKey(at), at, "unknown key")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			s.AddFinding(pointer, fmt.Sprintf("missing key %q", name))
		}
	default:
		s.AddFinding(pointer, k.LocalizedString(message.NewPrinter(language.English)))
	}
}

// lineAndColumn returns the line and column of a byte offset, both from 1.
func lineAndColumn(text []byte, offset int) (line, column int) {
	offset = min(offset, len(text))
	before := text[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}
