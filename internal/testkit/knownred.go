package testkit

import (
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// KnownRedVar names the environment variable with the path of the list of known
// failures. Without it nothing is passed over.
const KnownRedVar = "KNOWN_RED"

// mostKnownRed bounds the list.
const mostKnownRed = 3

// Red is a test that fails for a real fault that is not mended yet.
type Red struct {
	// Test is the whole text of a spec.
	Test string
	// Line is the whole line, with cause, issue and how to see it.
	Line string
}

// ParseKnownRed reads a list of known failures, a line each:
// "test, cause, issue; command, seed, what was seen".
func ParseKnownRed(raw string) ([]Red, error) {
	var out []Red
	for line := range strings.Lines(raw) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		what, seen, found := strings.Cut(line, ";")
		fields := strings.Split(what, ",")
		if !found || len(fields) < 3 || strings.TrimSpace(fields[0]) == "" || len(strings.Split(seen, ",")) < 3 {
			return nil, errors.Newf("known failures: %q is not \"test, cause, issue; command, seed, what was seen\"", line)
		}
		out = append(out, Red{Test: strings.TrimSpace(fields[0]), Line: line})
	}
	if len(out) > mostKnownRed {
		return nil, errors.Newf("known failures: %d lines, %d at most", len(out), mostKnownRed)
	}
	return out, nil
}

// knownRed reads the list that the environment names.
func knownRed() ([]Red, error) {
	path := os.Getenv(KnownRedVar)
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "known failures")
	}
	return ParseKnownRed(string(raw))
}

// skip is the expression that matches just the spec.
func (r Red) skip() string { return regexp.QuoteMeta(r.Test) + "$" }
