//go:build review

// Package stage holds the program that plays one case of the review: it starts a small deployment on loopback addresses, with
// stand-ins of the store, the workers and the clients, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package stage

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// caseFunc plays a case, with the disruption or without, and returns the breaches of the rule.
type caseFunc func(s *site, rec *recorder, trouble bool) (breaches []string, err error)

var cases = map[string]caseFunc{"foreign-address": foreignAddress, "foreign-page": foreignPage, "forgotten-leaving": forgottenLeaving, "unfinished-bodies": unfinishedBodies, "too-much-memory": tooMuchMemory}

const (
	held    = 0
	broken  = 1
	unfit   = 2
	maxTime = 110 * time.Second
)

// TestMain makes the test binary the program.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM RECORD")
		os.Exit(unfit)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(unfit)
	})
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, bin, record string) int {
	f, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return unfit
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unfit
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption: %t", name, trouble)
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.note("%s", err)
		return unfit
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	s, err := newSite(dir)
	if err == nil {
		defer s.stop()
		err = s.startMachines(bin)
	}
	if err != nil {
		rec.note("the site could not start: %s", err)
		return unfit
	}
	breaches, err := f(s, rec, trouble)
	switch {
	case err != nil:
		rec.note("the case could not run: %s", err)
		return unfit
	case len(breaches) > 0:
		for _, b := range breaches {
			rec.note("BROKEN: %s", b)
		}
		return broken
	default:
		rec.note("the rule held")
		return held
	}
}
