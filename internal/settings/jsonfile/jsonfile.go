// Package jsonfile reads JSON documents that people write: it checks them
// against a schema and reports every finding with its line and column.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Finding is one fault of a document. Line and Column count from 1, the column
// in bytes.
type Finding struct {
	File    string
	Line    int
	Column  int
	Pointer string // JSON pointer of the value at fault
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

// Error holds every finding of one document, in the order of their places.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Source is a document's text with the place of each value in it.
type Source struct {
	file     string
	text     []byte
	places   places
	findings []Finding
}

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles the text of a schema and panics when it is not valid;
// schemas are part of the program. The format "ip_port" accepts an IP number
// with a port.
func MustCompile(name string, text []byte) Schema {
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
	return Schema{compiled: c.MustCompile(name)}
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

// Parse reads text and checks it against schema. The returned source collects
// what was found; Err returns it.
func Parse(file string, text []byte, schema Schema) *Source {
	s := &Source{file: file, text: text, places: places{}}
	s.places.root = place{}
	if err := s.locate(); err != nil {
		return s
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		s.addAt(place{}, "", err.Error())
		return s
	}
	if err := schema.compiled.Validate(doc); err != nil {
		s.addValidation(err)
	}
	return s
}

// Decode fills out from the document. It does nothing when the document has
// findings.
func (s *Source) Decode(out any) {
	if len(s.findings) > 0 {
		return
	}
	if err := json.Unmarshal(s.text, out); err != nil {
		s.addAt(place{}, "", err.Error())
	}
}

// Add reports a problem with the value at a JSON pointer.
func (s *Source) Add(pointer, problem string) {
	s.addAt(s.places.of(pointer), pointer, problem)
}

// Err returns an *Error with every finding, or nil.
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

func (s *Source) addAt(at place, pointer, problem string) {
	line, column := position(s.text, at.offset)
	s.findings = append(s.findings, Finding{
		File:    s.file,
		Line:    line,
		Column:  column,
		Pointer: pointer,
		Problem: problem,
	})
}

func (s *Source) addValidation(err error) {
	v, ok := err.(*jsonschema.ValidationError)
	if !ok {
		s.addAt(place{}, "", err.Error())
		return
	}
	s.addCauses(v)
}

func (s *Source) addCauses(v *jsonschema.ValidationError) {
	for _, c := range v.Causes {
		s.addCauses(c)
	}
	if len(v.Causes) > 0 {
		return
	}
	pointer := join(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			at := pointer + "/" + escape(name)
			s.addAt(s.places.keyOf(at), at, "unknown key")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			s.Add(pointer, fmt.Sprintf("missing key %q", name))
		}
	default:
		s.Add(pointer, k.LocalizedString(message.NewPrinter(language.English)))
	}
}

// position returns the line and column of a byte offset, both from 1.
func position(text []byte, offset int) (line, column int) {
	offset = min(offset, len(text))
	before := text[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}
