package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// evacuationLine lists the evacuated data centres, for how long the first instance has known of each, and
// the instances that do not know of it. It is empty if no instance knows of any.
func (s *catalogSpread) evacuationLine() string {
	since, knownBy := map[string]time.Duration{}, map[string][]string{}
	for _, r := range s.rows {
		for _, e := range r.dump.Evacuated {
			since[e.DataCentre] = max(since[e.DataCentre], time.Duration(e.AgeMS)*time.Millisecond)
			knownBy[e.DataCentre] = append(knownBy[e.DataCentre], r.addr)
		}
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(since)) {
		part := fmt.Sprintf("%s for %s", name, since[name].Round(time.Millisecond))
		if others := s.addrsWithout(knownBy[name]); len(others) > 0 {
			part += fmt.Sprintf(" (not at %s)", strings.Join(others, ", "))
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return ""
	}
	return "evacuated: " + strings.Join(parts, "; ")
}

// addrsWithout returns the addresses of the instances that are not among others.
func (s *catalogSpread) addrsWithout(others []string) (out []string) {
	for _, r := range s.rows {
		if !slices.Contains(others, r.addr) {
			out = append(out, r.addr)
		}
	}
	return out
}
