// Package testkit holds helpers that the tests of several packages share.
package testkit

import (
	"flag"
	"os"
	"strings"
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

// ServerNotices labels the end-to-end specs of what servers say of themselves in their answers, and of what
// outlives the loss of all instances. Each starts a site of its own, so they run beside the others.
var ServerNotices = ginkgo.Label(serverNotices)

const serverNotices = "server notices"

// ServerNoticesVar selects specs by that label, with the values of LargeFleetsVar.
const ServerNoticesVar = "SERVER_NOTICES"

// Crowd labels the end-to-end specs of clients that do not behave. They measure the memory and the descriptors
// of a process and run one at a time, beside nothing else.
var Crowd = ginkgo.Label(crowd)

const crowd = "crowd"

// CrowdsVar selects specs by that label, with the values of LargeFleetsVar.
const CrowdsVar = "CROWDS"

// labelFilter returns the Ginkgo label filter for the value of a variable that selects a label.
func labelFilter(variable, label string) (string, error) {
	switch selection := os.Getenv(variable); selection {
	case "":
		return "", nil
	case "only":
		return "(" + label + ")", nil
	case "skip":
		return "!(" + label + ")", nil
	default:
		return "", errors.Newf("%s is %q, neither only nor skip", variable, selection)
	}
}

// labelFilters returns the filter for all variables that select labels.
func labelFilters() (string, error) {
	var filters []string
	for variable, label := range map[string]string{LargeFleetsVar: largeFleet, ServerNoticesVar: serverNotices, CrowdsVar: crowd} {
		filter, err := labelFilter(variable, label)
		if err != nil {
			return "", err
		}
		if filter != "" {
			filters = append(filters, filter)
		}
	}
	return strings.Join(filters, " && "), nil
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
	if suite.LabelFilter, err = labelFilters(); err != nil {
		t.Fatal(err)
	}
	for _, k := range known {
		suite.SkipStrings = append(suite.SkipStrings, k.skipPattern())
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
