// Package testkit holds helpers that the tests of several packages share.
package testkit

import (
	"flag"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Main runs a package's tests with a fixed seed for property tests, so that
// their results are reproducible.
func Main(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// LargeFleet labels specs that play a fleet of hundreds of instances in virtual time. With the
// race detector they take ten times as long, and they run in one goroutine.
var LargeFleet = ginkgo.Label(largeFleet)

const largeFleet = "large fleet"

// LargeFleetsVar is the environment variable that selects specs by that label: "only" runs just
// these, "skip" the others. All run if it is not set.
const LargeFleetsVar = "LARGE_FLEETS"

// labelFilter returns the Ginkgo label filter for a value of LargeFleetsVar.
func labelFilter(selection string) (string, error) {
	switch selection {
	case "":
		return "", nil
	case "only":
		return largeFleet, nil
	case "skip":
		return "!(" + largeFleet + ")", nil
	default:
		return "", errors.Newf("%s is %q, neither only nor skip", LargeFleetsVar, selection)
	}
}

// Suite runs the specs of a package in a fixed order and skips the known failures.
func Suite(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	known, err := readKnownFailures()
	if err != nil {
		t.Fatal(err)
	}
	if suite.LabelFilter, err = labelFilter(os.Getenv(LargeFleetsVar)); err != nil {
		t.Fatal(err)
	}
	for _, k := range known {
		suite.SkipStrings = append(suite.SkipStrings, k.skipPattern())
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
