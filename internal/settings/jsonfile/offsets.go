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

// valueOffsets holds the byte offsets of a value and of the object key that
// names it.
type valueOffsets struct {
	value int
	key   int
}

// offsetIndex maps JSON pointers to the offsets of their values. The root, whose
// pointer is empty, is kept apart.
type offsetIndex struct {
	root      valueOffsets
	byPointer map[string]valueOffsets
}

// lookup returns the offsets of the value at pointer, or of its nearest ancestor
// that exists.
func (x offsetIndex) lookup(pointer string) valueOffsets {
	for pointer != "" {
		if offsets, ok := x.byPointer[pointer]; ok {
			return offsets
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return x.root
}

// lookupKey returns offsets for a finding on the key that names the value at
// pointer: both are the offset of the key.
func (x offsetIndex) lookupKey(pointer string) valueOffsets {
	offsets := x.lookup(pointer)
	return valueOffsets{value: offsets.key, key: offsets.key}
}

// indexOffsets records the offsets of every value. It adds a finding for each
// duplicate key, and returns an error after adding a finding for a syntax error.
func (s *Source) indexOffsets() error {
	s.offsets.byPointer = map[string]valueOffsets{}
	dec := json.NewDecoder(bytes.NewReader(s.text))
	dec.UseNumber()
	ix := offsetIndexer{source: s, dec: dec}
	err := ix.indexValue("", 0)
	if err == nil {
		err = ix.expectEOF()
	}
	if err != nil {
		s.addSyntaxError()
	}
	return err
}

// addSyntaxError adds a finding for the first syntax error. It parses the whole
// text again with Unmarshal, since the offsets in a Decoder's errors do not all
// count from the start of the text.
func (s *Source) addSyntaxError() {
	var raw json.RawMessage
	err := json.Unmarshal(s.text, &raw)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		s.addFinding(valueOffsets{}, "", "not a JSON document")
		return
	}
	offset := int(syntax.Offset)
	if !strings.HasPrefix(syntax.Error(), "unexpected end") {
		// The offset points past the invalid byte. Only at an unexpected end of the
		// text is there no such byte.
		offset--
	}
	s.addFinding(valueOffsets{value: offset}, "", syntax.Error())
}

// offsetIndexer walks the tokens of a document and records the offsets of its
// values in the source.
type offsetIndexer struct {
	source *Source
	dec    *json.Decoder
}

// expectEOF returns an error if anything follows the document.
func (ix *offsetIndexer) expectEOF() error {
	_, err := ix.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = fmt.Errorf("text after the end of the document")
	}
	return err
}

// nextTokenOffset returns the offset of the next token. The decoder's own offset
// points past the last token, before any separators.
func (ix *offsetIndexer) nextTokenOffset() int {
	offset := int(ix.dec.InputOffset())
	for offset < len(ix.source.text) && strings.IndexByte(" \t\r\n,:", ix.source.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// indexValue records the offsets of the next value and of every value in it.
// keyOffset is the offset of the object key that names the value.
func (ix *offsetIndexer) indexValue(pointer string, keyOffset int) error {
	offsets := valueOffsets{value: ix.nextTokenOffset(), key: keyOffset}
	if pointer == "" {
		ix.source.offsets.root = offsets
	} else {
		ix.source.offsets.byPointer[pointer] = offsets
	}
	token, err := ix.dec.Token()
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("unexpected end of the document")
	}
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return ix.indexObject(pointer)
	case json.Delim('['):
		return ix.indexArray(pointer)
	}
	return nil
}

func (ix *offsetIndexer) indexObject(pointer string) error {
	for ix.dec.More() {
		key := ix.nextTokenOffset()
		token, err := ix.dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("object key is not a string: %v", token)
		}
		child := pointer + "/" + escapePointerPart(name)
		if _, duplicate := ix.source.offsets.byPointer[child]; duplicate {
			ix.source.addFinding(valueOffsets{value: key}, child, "key given twice")
		}
		if err := ix.indexValue(child, key); err != nil {
			return err
		}
	}
	_, err := ix.dec.Token()
	return err
}

func (ix *offsetIndexer) indexArray(pointer string) error {
	for i := 0; ix.dec.More(); i++ {
		if err := ix.indexValue(pointer+"/"+strconv.Itoa(i), ix.nextTokenOffset()); err != nil {
			return err
		}
	}
	_, err := ix.dec.Token()
	return err
}

// joinPointer returns the JSON pointer that consists of the given parts.
func joinPointer(path []string) string {
	var b strings.Builder
	for _, part := range path {
		b.WriteByte('/')
		b.WriteString(escapePointerPart(part))
	}
	return b.String()
}

// escapePointerPart escapes a name for use as one part of a JSON pointer.
func escapePointerPart(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
