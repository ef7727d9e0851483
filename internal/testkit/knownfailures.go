package testkit

import (
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// KnownFailuresVar is the environment variable with the path of the list of known
// failures. If it is not set, no test is skipped.
const KnownFailuresVar = "KNOWN_RED"

// maxKnownFailures bounds the length of the list without the specs of crowds, which have a line each.
const maxKnownFailures = 6

// crowdSpecs is how the texts of the specs labelled Crowd begin.
const crowdSpecs = "a crowd at "

// KnownFailure is a test that fails because of a fault that is not fixed yet.
type KnownFailure struct {
	// Test is the full text of a Ginkgo spec.
	Test string
	// Line is the whole line of the list, with the cause, the issue and how to reproduce it.
	Line string
}

// ParseKnownFailures parses a list of known failures, one per line:
// "test, cause, issue; command, seed, what was seen".
func ParseKnownFailures(raw string) ([]KnownFailure, error) {
	var out []KnownFailure
	counted := 0
	for line := range strings.Lines(raw) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		failure, evidence, found := strings.Cut(line, ";")
		fields := strings.Split(failure, ",")
		if !found || len(fields) < 3 || strings.TrimSpace(fields[0]) == "" || len(strings.Split(evidence, ",")) < 3 {
			return nil, errors.Newf("known failures: %q is not \"test, cause, issue; command, seed, what was seen\"", line)
		}
		k := KnownFailure{Test: strings.TrimSpace(fields[0]), Line: line}
		out = append(out, k)
		if !strings.HasPrefix(k.Test, crowdSpecs) {
			counted++
		}
	}
	if counted > maxKnownFailures {
		return nil, errors.Newf("known failures: %d lines, %d at most", counted, maxKnownFailures)
	}
	return out, nil
}

// readKnownFailures reads the list that the environment variable points to.
func readKnownFailures() ([]KnownFailure, error) {
	path := os.Getenv(KnownFailuresVar)
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
	return ParseKnownFailures(string(raw))
}

// skipPattern returns a regular expression that matches the spec.
func (k KnownFailure) skipPattern() string { return regexp.QuoteMeta(k.Test) + "$" }
