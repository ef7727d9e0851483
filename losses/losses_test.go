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

// find reads lines that are written as fields after a time in milliseconds.
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
	DescribeTable("is told from the lines of the request", func(want losses.Cause, lines ...string) {
		rep := find(lines...)
		Expect(rep.Losses).To(HaveLen(1))
		Expect(rep.Losses[0].Cause).To(Equal(want))
	},
		Entry(nil, losses.PauseReading, placed, answered+`,"first":90,"longest_gap":260,"gap_read":150,"gap_pass":60`),
		Entry(nil, losses.PauseWriting, placed, answered+`,"first":90,"longest_gap":260,"gap_read":0,"gap_pass":70`),
		Entry(nil, losses.PauseOther, placed, answered+`,"first":90,"longest_gap":260,"gap_read":0,"gap_pass":20`),
		Entry(nil, losses.LaterThan, placed, answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.BusyEngines, strings.Replace(placed, `"predicted":90`, `"predicted":380`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.EngineFull, strings.Replace(placed, `"waiting":false`, `"waiting":true`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.HeldForSlot, strings.Replace(placed, `"held":0`, `"held":250`, 1), answered+`,"first":400,"longest_gap":60`),
		Entry(nil, losses.Moved, placed, `2.000Z","msg":"attempt failed","instance":"a","request":"r","outcome":"silent"`, answered+`,"first":90,"longest_gap":1300`),
		Entry(nil, losses.NoRoom, `1.000Z","msg":"refused","instance":"a","request":"r","code":2001,"prompt":500000`),
		Entry(nil, losses.NoServer, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":2005,"prompt":5000`),
		Entry(nil, losses.Deadline, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":3001,"prompt":0`),
		Entry(nil, losses.Unexplained, placed, `2.000Z","msg":"refused","instance":"a","request":"r","code":3999,"prompt":0`),
		Entry(nil, losses.LeftHeld, `1.000Z","msg":"held back","instance":"a","request":"r","prompt":200000`, `2.000Z","msg":"client gone","instance":"a","request":"r"`),
		Entry(nil, losses.LeftWaiting, placed, `2.000Z","msg":"client gone","instance":"a","request":"r"`),
		Entry(nil, losses.BrokenOff, placed, `2.000Z","msg":"stream broken off","instance":"a","request":"r"`),
		Entry(nil, losses.ServerError, placed, `2.000Z","msg":"server error passed on","instance":"a","request":"r"`),
		Entry(nil, losses.InstanceLost, placed),
	)

	It("is not asked for where the answer came in time or the request is not allowed", func() {
		rep := find(placed, answered+`,"first":90,"longest_gap":60`, `1.000Z","msg":"refused","instance":"a","request":"s","code":1003`)
		Expect(rep.Losses).To(BeEmpty())
		Expect(rep.Requests).To(Equal(1))
	})

	It("is told whatever the order of the lines and with foreign lines between them", func() {
		rep := find(answered+`,"first":400,"longest_gap":60`, `2.000Z","msg":"view changed","instance":"a","instances":3`, placed)
		Expect(rep.Losses).To(HaveLen(1))
	})
})

var _ = Describe("the report", func() {
	rep := func() losses.Report {
		return find(placed, `4.500Z","msg":"refused","instance":"b","request":"big","code":2001,"prompt":500000`, answered+`,"first":400,"longest_gap":60`)
	}

	It("names causes, the seconds and the largest losses", func() {
		var out strings.Builder
		Expect(rep().Write(&out)).To(Succeed())
		Expect(out.String()).To(And(ContainSubstring("2 requests, 2 lost (1 served late)"), ContainSubstring("refused: no room"), ContainSubstring("500000"), ContainSubstring("3.500")))
	})

	It("can be read by scripts", func() {
		var out strings.Builder
		Expect(rep().JSON(&out)).To(Succeed())
		var back losses.Report
		Expect(json.Unmarshal([]byte(out.String()), &back)).To(Succeed())
		Expect(back.Losses).To(HaveLen(2))
	})
})
