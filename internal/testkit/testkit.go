// Package testkit holds what the tests of several packages share.
package testkit

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Main runs a package's tests with a fixed seed for property tests, so that
// the verdict is the same every time.
func Main(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Suite runs the specs of a package in a fixed order. It passes over those that the
// list of known failures names, and prints them.
func Suite(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	reds, err := knownRed()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reds {
		suite.SkipStrings = append(suite.SkipStrings, r.skip())
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
