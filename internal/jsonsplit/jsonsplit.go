// Package jsonsplit splits JSON text into its parts without decoding these, so that one part that cannot be decoded
// costs no other: encoding/json fails a whole document for one value of a wrong form, or nested too deeply.
package jsonsplit

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrForm means that a text is not a JSON value of the expected form.
var ErrForm = errors.New("not a JSON value of the expected form")

// Object returns the members of a JSON object by name. Of members with one name the last counts.
func Object(raw []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	err := split(raw, '{', '}', func(s *splitter) error {
		key, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(key, &name) != nil {
			return ErrForm
		}
		if !s.accept(':') {
			return ErrForm
		}
		value, err := s.value()
		out[name] = value
		return err
	})
	return out, err
}

// Array returns the elements of a JSON array. One that is missing between two commas is empty.
func Array(raw []byte) (out []json.RawMessage, err error) {
	err = split(raw, '[', ']', func(s *splitter) error {
		if s.nextIs(',') || s.nextIs(']') {
			out = append(out, nil)
			return nil
		}
		value, err := s.value()
		out = append(out, value)
		return err
	})
	return out, err
}

// split calls next for each of the elements between two brackets.
func split(raw []byte, begin, end byte, next func(*splitter) error) error {
	s := &splitter{raw: raw}
	if !s.accept(begin) {
		return ErrForm
	}
	if s.accept(end) {
		return s.finish()
	}
	for {
		if err := next(s); err != nil {
			return err
		}
		if s.accept(end) {
			return s.finish()
		}
		if !s.accept(',') {
			return ErrForm
		}
	}
}

// splitter reads JSON text from a position on.
type splitter struct {
	raw []byte
	at  int
}

func (s *splitter) skipSpace() {
	for s.at < len(s.raw) && (s.raw[s.at] == ' ' || s.raw[s.at] == '\t' || s.raw[s.at] == '\n' || s.raw[s.at] == '\r') {
		s.at++
	}
}

// nextIs reports whether a byte is the next one after space.
func (s *splitter) nextIs(b byte) bool {
	s.skipSpace()
	return s.at < len(s.raw) && s.raw[s.at] == b
}

// accept passes over a byte if it is the next one.
func (s *splitter) accept(b byte) bool {
	if !s.nextIs(b) {
		return false
	}
	s.at++
	return true
}

// finish fails unless only space is left.
func (s *splitter) finish() error {
	if s.skipSpace(); s.at < len(s.raw) {
		return ErrForm
	}
	return nil
}

// value returns the text of the next value, of any depth. Only its brackets and texts are looked at.
func (s *splitter) value() (json.RawMessage, error) {
	s.skipSpace()
	begin, depth := s.at, 0
	for s.at < len(s.raw) {
		switch b := s.raw[s.at]; b {
		case '"':
			if !s.text() {
				return nil, ErrForm
			}
			if depth == 0 {
				return s.raw[begin:s.at], nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.literal(begin)
			}
			if depth--; depth == 0 {
				s.at++
				return s.raw[begin:s.at], nil
			}
		case ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return s.literal(begin)
			}
		}
		s.at++
	}
	if depth > 0 {
		return nil, ErrForm
	}
	return s.literal(begin)
}

// literal returns a number, a truth value or null, which ends at the present position.
func (s *splitter) literal(begin int) (json.RawMessage, error) {
	if s.at == begin {
		return nil, ErrForm
	}
	return s.raw[begin:s.at], nil
}

// text passes over a text and reports whether it has an end.
func (s *splitter) text() bool {
	for s.at++; s.at < len(s.raw); s.at++ {
		switch s.raw[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}
