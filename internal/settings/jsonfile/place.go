package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// place is where a value starts, and the key that names it, as byte offsets.
type place struct {
	offset int
	key    int
}

// places maps JSON pointers to places.
type places struct {
	root place
	at   map[string]place
}

// of returns the place of the value at pointer, or of its nearest parent.
func (p places) of(pointer string) place {
	for pointer != "" {
		if at, ok := p.at[pointer]; ok {
			return at
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return p.root
}

// keyOf returns the place of the key that names the value at pointer.
func (p places) keyOf(pointer string) place {
	at := p.of(pointer)
	return place{offset: at.key, key: at.key}
}

// locate records the place of every value, and reports a syntax error or a
// doubled key.
func (s *Source) locate() error {
	s.places.at = map[string]place{}
	dec := json.NewDecoder(bytes.NewReader(s.text))
	dec.UseNumber()
	l := locator{source: s, dec: dec}
	err := l.value("", 0)
	if err == nil {
		err = l.end()
	}
	if err != nil {
		s.addSyntax()
	}
	return err
}

// addSyntax reports the first syntax error. It is looked for in the whole text,
// since a decoder counts the offsets of its errors from different places.
func (s *Source) addSyntax() {
	var raw json.RawMessage
	err := json.Unmarshal(s.text, &raw)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		s.addAt(place{}, "", "not a JSON document")
		return
	}
	offset := int(syntax.Offset)
	if !strings.HasPrefix(syntax.Error(), "unexpected end") {
		// The offset counts the byte at fault, if there is one.
		offset--
	}
	s.addAt(place{offset: offset}, "", syntax.Error())
}

type locator struct {
	source *Source
	dec    *json.Decoder
}

// end reports anything that follows the document.
func (l *locator) end() error {
	_, err := l.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = fmt.Errorf("text after the end of the document")
	}
	return err
}

// next returns the offset of the next token.
func (l *locator) next() int {
	offset := int(l.dec.InputOffset())
	for offset < len(l.source.text) && strings.IndexByte(" \t\r\n,:", l.source.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (l *locator) value(pointer string, key int) error {
	at := place{offset: l.next(), key: key}
	if pointer == "" {
		l.source.places.root = at
	} else {
		l.source.places.at[pointer] = at
	}
	token, err := l.dec.Token()
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("unexpected end of the document")
	}
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return l.object(pointer)
	case json.Delim('['):
		return l.array(pointer)
	}
	return nil
}

func (l *locator) object(pointer string) error {
	for l.dec.More() {
		key := l.next()
		token, err := l.dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("want a key, got %v", token)
		}
		child := pointer + "/" + escape(name)
		if _, doubled := l.source.places.at[child]; doubled {
			l.source.addAt(place{offset: key}, child, "key given twice")
		}
		if err := l.value(child, key); err != nil {
			return err
		}
	}
	_, err := l.dec.Token()
	return err
}

func (l *locator) array(pointer string) error {
	for i := 0; l.dec.More(); i++ {
		if err := l.value(pointer+"/"+strconv.Itoa(i), l.next()); err != nil {
			return err
		}
	}
	_, err := l.dec.Token()
	return err
}

func join(path []string) string {
	var b strings.Builder
	for _, part := range path {
		b.WriteByte('/')
		b.WriteString(escape(part))
	}
	return b.String()
}

// escape writes a name as one part of a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
