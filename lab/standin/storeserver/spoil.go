package storeserver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// Part is a part of an answer to a list or a watch.
type Part string

// The parts. The first ones are those of the whole answer, the others belong to each of its objects.
const (
	PartAnswer   Part = "answer"
	PartObjects  Part = "objects"
	PartPosition Part = "position"
	PartMore     Part = "more"
	PartEvent    Part = "event"
	PartDeleted  Part = "deleted"
	PartObject   Part = "object"
	PartMetadata Part = "metadata"
	PartName     Part = "name"
	PartRevision Part = "revision"
	PartSpec     Part = "spec"
)

// Spoil puts other text in place of a part of answers.
type Spoil struct {
	Part Part `json:"part"`
	// With is the text, which need not be JSON. Empty leaves the part out.
	With string `json:"with"`
	// Twice has the part twice, first as it is and then with the text.
	Twice bool `json:"twice"`
	// Name limits a spoilt part of objects to the object of that name. All are spoilt if it is empty.
	Name string `json:"name"`
	// Lists and Watches choose the answers.
	Lists   bool `json:"lists"`
	Watches bool `json:"watches"`
}

// faultsKey is the key of the function that returns the faults that apply to a call.
const faultsKey = "faults"

// spoilOf returns what is spoilt of the answer to a call. The caller holds the mutex of the store.
func spoilOf(c echo.Context) Spoil {
	return c.Get(faultsKey).(func() Faults)().Spoil[c.Param("kind")]
}

// field is one member of a JSON object.
type field struct {
	part  Part
	name  string
	value any
}

// object encodes an object with the part that is spoilt.
func (s Spoil) object(fields ...field) json.RawMessage {
	var members []string
	add := func(name string, raw []byte) { members = append(members, `"`+name+`":`+string(raw)) }
	for _, f := range fields {
		raw, _ := encode(f.value)
		if s.Part == "" || f.part != s.Part {
			add(f.name, raw)
			continue
		}
		if s.Twice {
			add(f.name, raw)
		}
		if s.With != "" {
			add(f.name, []byte(s.With))
		}
	}
	return json.RawMessage("{" + strings.Join(members, ",") + "}")
}

// encode is json.Marshal for values that hold raw text which need not be JSON.
func encode(v any) ([]byte, error) {
	switch v := v.(type) {
	case json.RawMessage:
		return v, nil
	case []json.RawMessage:
		raw := make([][]byte, len(v))
		for i := range v {
			raw[i] = v[i]
		}
		return append(append([]byte("["), bytes.Join(raw, []byte(","))...), ']'), nil
	}
	return json.Marshal(v)
}

// encodeObject encodes one object of an answer.
func (s Spoil) encodeObject(o Object) json.RawMessage {
	if s.Name != "" && s.Name != o.Metadata.Name {
		s = Spoil{}
	}
	meta := s.object(field{PartName, "name", o.Metadata.Name}, field{PartRevision, "revision", o.Metadata.Revision}, field{"", "createRev", o.Metadata.CreateRev})
	spec := o.Spec
	if spec == nil {
		spec = json.RawMessage("null")
	}
	return s.object(field{PartMetadata, "metadata", meta}, field{PartSpec, "spec", spec})
}

func (s Spoil) encodeEvent(e Event) json.RawMessage {
	if s.Name != "" && s.Name != e.Object.Metadata.Name {
		s = Spoil{}
	}
	if s.Part == PartEvent {
		return json.RawMessage(s.With)
	}
	return s.object(field{PartDeleted, "deleted", e.Deleted}, field{PartObject, "object", s.encodeObject(e.Object)})
}

func (s Spoil) answer(c echo.Context, fields ...field) error {
	raw := s.object(fields...)
	if s.Part == PartAnswer {
		raw = json.RawMessage(s.With)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}

func (s Spoil) answerList(c echo.Context, p page) error {
	if s.Part == "" || !s.Lists {
		return c.JSON(http.StatusOK, p)
	}
	var items []json.RawMessage
	for _, o := range p.Items {
		raw := s.encodeObject(o)
		if s.Part == PartObject && (s.Name == "" || s.Name == o.Metadata.Name) {
			raw = json.RawMessage(s.With)
		}
		items = append(items, raw)
	}
	return s.answer(c, field{PartObjects, "items", items}, field{PartMore, "more", p.More}, field{PartPosition, "storeRevision", p.StoreRevision})
}

func (s Spoil) answerWatch(c echo.Context, a events) error {
	if s.Part == "" || !s.Watches {
		return c.JSON(http.StatusOK, a)
	}
	var list []json.RawMessage
	for _, e := range a.Events {
		list = append(list, s.encodeEvent(e))
	}
	return s.answer(c, field{PartObjects, "events", list}, field{PartPosition, "storeRevision", a.StoreRevision})
}
