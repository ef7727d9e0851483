package cli

import (
	"testing"

	"github.com/auburnmoor/auburnmoor/control/follow"
)

// Guards against a status that hides instances that still use the servers of an evacuated data centre.
func TestEvacuationLine(t *testing.T) {
	evacuated := func(ms int64, names ...string) (d follow.Dump) {
		for _, name := range names {
			d.Evacuated = append(d.Evacuated, follow.DumpEvacuated{DataCentre: name, AgeMS: ms})
		}
		return d
	}
	var s catalogSpread
	s.add("x", evacuated(0))
	if got := s.evacuationLine(); got != "" {
		t.Errorf("got %q without evacuations", got)
	}
	s.add("y", evacuated(5200, "b", "a"))
	s.add("z", evacuated(1300, "b"))
	const want = "evacuated: a for 5.2s (not at x, z); b for 5.2s (not at x)"
	if got := s.evacuationLine(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
