package losses_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/explain"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/losses"
)

func TestLosses(t *testing.T) { testkit.Suite(t, "losses") }

// find builds the report of log lines that are given from the last digit of the seconds
// of their time on.
func find(lines ...string) losses.Report {
	var text strings.Builder
	for _, l := range lines {
		text.WriteString(`{"time":"2026-01-01T00:00:0` + l + "}\n")
	}
	read, err := explain.Read(strings.NewReader(text.String()))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return losses.Find(read)
}

const (
	placed   = `1.000Z","msg":"placed","instance":"a","request":"r","prompt":5000,"predicted":90,"held":0,"waiting":false`
	answered = `3.000Z","msg":"answered","instance":"a","request":"r","prompt":5000,"first_target":300,"gap_target":200`
)

var _ = Describe("the cause of a loss", func() {
	DescribeTable("is derived from the lines of the request", func(want losses.Cause, lines ...string) {
		rep := find(lines...)
		Expect(rep.Losses).To(HaveLen(1))
		Expect(rep.Losses[0].Cause).To(Equal(want))
	},
		Entry(nil, losses.PausePrefill, placed, answered+`,"first":90,"longest_gap":260,"gap_read":150,"gap_pass":60`),
		Entry(nil, losses.PauseBatch, placed, answered+`,"first":90,"longest_gap":260,"gap_read":0,"gap_pass":70`),
		Entry(nil, losses.PauseOther, placed, answered+`,"first":90,"longest_gap":260,"gap_read":0,"gap_pass":20`),
		Entry(nil, losses.LaterThanPredicted, placed, answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.EnginesBusy, strings.Replace(placed, `"predicted":90`, `"predicted":380`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.EngineFull, strings.Replace(placed, `"waiting":false`, `"waiting":true`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.HeldForSlot, strings.Replace(placed, `"held":0`, `"held":250`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.Retried, placed, `2.000Z","msg":"attempt failed","instance":"a","request":"r","outcome":"silent"`, answered+`,"first":90,"longest_gap":1300`),
		Entry(nil, losses.NoCapacity, `1.000Z","msg":"refused","instance":"a","request":"r","code":2001,"prompt":500000`),
		Entry(nil, losses.NoServer, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":2005,"prompt":5000`),
		Entry(nil, losses.TimedOut, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":3001,"prompt":0`),
		Entry(nil, losses.Unexplained, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":3999,"prompt":0`),
		Entry(nil, losses.ClientLeftHeld, `1.000Z","msg":"held back","instance":"a","request":"r","prompt":200000`, `2.000Z","msg":"client gone","instance":"a","request":"r"`),
		Entry(nil, losses.ClientLeftPlaced, placed, `2.000Z","msg":"client gone","instance":"a","request":"r"`),
		Entry(nil, losses.StreamBroken, placed, `2.000Z","msg":"stream broken off","instance":"a","request":"r"`),
		Entry(nil, losses.ServerError, placed, `2.000Z","msg":"server error passed on","instance":"a","request":"r"`),
		Entry(nil, losses.InstanceLost, placed),
	)

	It("is absent for an answer in time and for a request that is not allowed", func() {
		rep := find(placed, answered+`,"first":90,"longest_gap":60`, `1.000Z","msg":"refused","instance":"a","request":"s","code":1003`)
		Expect(rep.Losses).To(BeEmpty())
		Expect(rep.Requests).To(Equal(1))
	})

	It("does not depend on the order of the lines or on lines of no request", func() {
		rep := find(answered+`,"first":400,"longest_gap":60`, `2.000Z","msg":"view changed","instance":"a","instances":3`, placed)
		Expect(rep.Losses).To(HaveLen(1))
	})
})

var _ = Describe("the report", func() {
	rep := func() losses.Report {
		return find(placed, `4.500Z","msg":"refused","instance":"b","request":"big","code":2001,"prompt":500000`, answered+`,"first":400,"longest_gap":60`)
	}

	It("shows the causes, the seconds and the largest losses", func() {
		var out strings.Builder
		Expect(rep().Write(&out)).To(Succeed())
		Expect(out.String()).To(And(ContainSubstring("2 requests, 2 lost (1 served late)"), ContainSubstring("refused: no room"), ContainSubstring("500000"), ContainSubstring("3.500")))
	})

	It("can be decoded from JSON", func() {
		var out strings.Builder
		Expect(rep().JSON(&out)).To(Succeed())
		var decoded losses.Report
		Expect(json.Unmarshal([]byte(out.String()), &decoded)).To(Succeed())
		Expect(decoded.Losses).To(HaveLen(2))
	})
})
