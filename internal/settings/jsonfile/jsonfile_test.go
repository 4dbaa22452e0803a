package jsonfile_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

var schema = jsonfile.NewSchema("test.schema.json", func() []byte {
	return []byte(`{
	"type": "object",
	"additionalProperties": false,
	"required": ["name"],
	"properties": {
		"name": {"type": "string"},
		"at": {"type": "string", "format": "ip_port"},
		"list": {"type": "array", "items": {"type": "integer", "minimum": 1}},
		"a/b~c": {"type": "object", "additionalProperties": false}
	}
}`)
})

func TestFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"none", `{"name": "x", "at": "[::1]:80", "list": [1, 2]}`, nil},
		{"missing", `{}`, []string{`f:1:1: /: missing key "name"`}},
		{"unknown, at its key", "{\"name\": \"x\",\n  \"nam\": 1}", []string{`f:2:3: /nam: unknown key`}},
		{"wrong type, at its value", `{"name":   7}`, []string{`f:1:12: /name: got number, want string`}},
		{"in a list", "{\"name\": \"x\", \"list\": [1,\n 0]}", []string{`f:2:2: /list/1: minimum: got 0, want 1`}},
		{"escaped keys", `{"name": "x", "a/b~c": {"d": 1}}`, []string{`f:1:25: /a~1b~0c/d: unknown key`}},
		{"given twice", `{"name": "x", "name": "y"}`, []string{`f:1:15: /name: key given twice`}},
		{"several, in order", "{\"at\": \"x\",\n\"z\": 1}", []string{
			`f:1:1: /: missing key "name"`,
			`f:1:8: /at: 'x' is not valid ip_port: want an IP number and a port, such as 127.0.0.1:7000`,
			`f:2:1: /z: unknown key`,
		}},
		{"after multibyte text", `{"name": "é", "z": 1}`, []string{`f:1:16: /z: unknown key`}},
		{"syntax", "{\n \"name\": x}", []string{`f:2:10: /: invalid character 'x' looking for beginning of value`}},
		{"cut off", `{"name": `, []string{`f:1:10: /: unexpected end of JSON input`}},
		{"empty", ``, []string{`f:1:1: /: unexpected end of JSON input`}},
		{"more after the end", `{"name": "x"} {}`, []string{`f:1:15: /: invalid character '{' after top-level value`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			var faults *jsonfile.Error
			if err := jsonfile.Parse("f", []byte(tt.text), schema).Err(); errors.As(err, &faults) {
				for _, f := range faults.Findings {
					got = append(got, f.String())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "x", "list": [1, {"a": null}], "at": "1.2.3.4:5"}`))
	f.Add([]byte("{\"a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var faults *jsonfile.Error
		err := jsonfile.Parse("f", text, schema).Err()
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error %v of type %T, want *jsonfile.Error", err, err)
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		if faults == nil {
			return
		}
		for _, finding := range faults.Findings {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 || finding.Problem == "" {
				t.Errorf("finding %v in a text of %d lines, want a position in the text and a problem", finding, lines)
			}
		}
	})
}
