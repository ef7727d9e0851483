// Package explain puts the log lines of all instances together into the story
// of one request.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// maxLine bounds a line in bytes; longer ones are no lines of ours.
const maxLine = 1 << 20

// Read decodes the lines of one log. What stands before the first brace of a
// line, such as a collector's prefix, is ignored, and so are lines that are not
// JSON.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if l, ok := decode(sc.Text()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(sc.Err(), "reading a log")
}

func decode(text string) (Line, bool) {
	_, body, ok := strings.Cut(text, "{")
	if !ok {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte("{"+body), &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, str(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Instance: str(fields["instance"]), Event: str(fields["msg"]), Fields: fields}
	for _, k := range []string{"time", "instance", "msg", "level", "logger"} {
		delete(fields, k)
	}
	return l, true
}

func str(v any) string {
	s, _ := v.(string)
	return s
}

// Text returns a field, empty if it is missing or no text.
func (l Line) Text(field string) string { return str(l.Fields[field]) }

// Number returns a field, zero if it is missing or no number.
func (l Line) Number(field string) float64 {
	v, _ := l.Fields[field].(float64)
	return v
}

// around is how much before and after a request counts as its surroundings.
const around = 500 * time.Millisecond

// Story is a request's lines in order, with what changed at its instance
// meanwhile.
type Story struct {
	Request []Line
	// Meanwhile are lines of the same instances that belong to no request.
	Meanwhile []Line
}

// Of collects the story of a request. Its lines name it under "request", those
// of its reservations under "ticket", which begins with its id.
func Of(id string, lines []Line) Story {
	var s Story
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] == id || strings.HasPrefix(l.Text("ticket"), id+"-") {
			s.Request = append(s.Request, l)
			instances[l.Instance] = true
		}
	}
	if len(s.Request) == 0 {
		return s
	}
	slices.SortStableFunc(s.Request, byTime)
	from, to := s.Request[0].Time.Add(-around), s.Request[len(s.Request)-1].Time.Add(around)
	for _, l := range lines {
		_, request := l.Fields["request"]
		_, ticket := l.Fields["ticket"]
		if !request && !ticket && instances[l.Instance] && !l.Time.Before(from) && !l.Time.After(to) {
			s.Meanwhile = append(s.Meanwhile, l)
		}
	}
	slices.SortStableFunc(s.Meanwhile, byTime)
	return s
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}

// Write prints the story, times in milliseconds from its first line.
func (s Story) Write(w io.Writer) error {
	if len(s.Request) == 0 {
		_, err := fmt.Fprintln(w, "no line names this request")
		return err
	}
	start := s.Request[0].Time
	if _, err := fmt.Fprintf(w, "request, from %s\n", start.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	if err := write(w, start, s.Request); err != nil || len(s.Meanwhile) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(w, "meanwhile at the same instances"); err != nil {
		return err
	}
	return write(w, start, s.Meanwhile)
}

func write(w io.Writer, start time.Time, lines []Line) error {
	for _, l := range lines {
		ms := float64(l.Time.Sub(start).Microseconds()) / 1000
		if _, err := fmt.Fprintf(w, "%9.1f  %s  %s%s\n", ms, l.Instance, l.Event, render(l.Fields)); err != nil {
			return err
		}
	}
	return nil
}

func render(fields map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if k == "request" {
			continue
		}
		fmt.Fprintf(&b, "  %s=%v", k, fields[k])
	}
	return b.String()
}
