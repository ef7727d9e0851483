// Package explain merges the log lines of all instances into the timeline of one
// request.
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

// Line is a parsed log line. Fields holds the keys that have no field of their own here.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// maxLineBytes bounds a line; Read fails on a longer one, which no instance writes.
const maxLineBytes = 1 << 20

// Read parses the lines of one log. It ignores text before the first brace of a
// line, such as the prefix of a log collector, and skips lines that are not JSON or
// have no time.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if l, ok := parseLine(sc.Text()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(sc.Err(), "reading log lines")
}

func parseLine(text string) (Line, bool) {
	_, body, ok := strings.Cut(text, "{")
	if !ok {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte("{"+body), &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Instance: stringOf(fields["instance"]), Event: stringOf(fields["msg"]), Fields: fields}
	for _, k := range []string{"time", "instance", "msg", "level", "logger"} {
		delete(fields, k)
	}
	return l, true
}

func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// Text returns a field, or "" if it is missing or not a string.
func (l Line) Text(field string) string { return stringOf(l.Fields[field]) }

// Number returns a field, or zero if it is missing or not a number.
func (l Line) Number(field string) float64 {
	v, _ := l.Fields[field].(float64)
	return v
}

// contextWindow is the time before and after a request from which other lines are shown.
const contextWindow = 500 * time.Millisecond

// Timeline holds the lines of a request in order of time, and other lines that its
// instances logged at about the same time.
type Timeline struct {
	Request []Line
	// Surrounding holds lines of the same instances that belong to no request.
	Surrounding []Line
}

// BuildTimeline builds the timeline of a request from lines in any order. Lines name the
// request in the field "request", those of its reservations in "ticket", which starts
// with its id.
func BuildTimeline(id string, lines []Line) Timeline {
	var t Timeline
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] == id || strings.HasPrefix(l.Text("ticket"), id+"-") {
			t.Request = append(t.Request, l)
			instances[l.Instance] = true
		}
	}
	if len(t.Request) == 0 {
		return t
	}
	slices.SortStableFunc(t.Request, byTime)
	from, to := t.Request[0].Time.Add(-contextWindow), t.Request[len(t.Request)-1].Time.Add(contextWindow)
	for _, l := range lines {
		_, request := l.Fields["request"]
		_, ticket := l.Fields["ticket"]
		if !request && !ticket && instances[l.Instance] && !l.Time.Before(from) && !l.Time.After(to) {
			t.Surrounding = append(t.Surrounding, l)
		}
	}
	slices.SortStableFunc(t.Surrounding, byTime)
	return t
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}

// Write prints the timeline with times in milliseconds since its first line.
func (t Timeline) Write(w io.Writer) error {
	if len(t.Request) == 0 {
		_, err := fmt.Fprintln(w, "no line names this request")
		return err
	}
	start := t.Request[0].Time
	if _, err := fmt.Fprintf(w, "request, from %s\n", start.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	if err := writeLines(w, start, t.Request); err != nil || len(t.Surrounding) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(w, "meanwhile at the same instances"); err != nil {
		return err
	}
	return writeLines(w, start, t.Surrounding)
}

func writeLines(w io.Writer, start time.Time, lines []Line) error {
	for _, l := range lines {
		ms := float64(l.Time.Sub(start).Microseconds()) / 1000
		if _, err := fmt.Fprintf(w, "%9.1f  %s  %s%s\n", ms, l.Instance, l.Event, formatFields(l.Fields)); err != nil {
			return err
		}
	}
	return nil
}

// formatFields formats the fields except the request id, sorted by name.
func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if k == "request" {
			continue
		}
		fmt.Fprintf(&b, "  %s=%v", k, fields[k])
	}
	return b.String()
}
