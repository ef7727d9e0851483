// Package testkit holds helpers that the tests of several packages share.
package testkit

import (
	"flag"
	"os"
	"testing"

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

// Suite runs the specs of a package in a fixed order and skips the known failures.
func Suite(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	known, err := readKnownFailures()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range known {
		suite.SkipStrings = append(suite.SkipStrings, k.skipPattern())
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
