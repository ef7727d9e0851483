package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/explain"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestExplain(t *testing.T) { testkit.Suite(t, "explain") }

const log = `  1.2 entry-1 {"level":"info","time":"2026-01-01T00:00:01.250Z","msg":"answered","instance":"entry-1","request":"r1","took":250}
not a line {
{"level":"info","time":"2026-01-01T00:00:01.000Z","msg":"placed","instance":"entry-1","request":"r1","server":"s1"}
{"level":"info","time":"2026-01-01T00:00:01.100Z","msg":"reservation not granted","instance":"entry-1","ticket":"r1-0-2"}
{"level":"info","time":"2026-01-01T00:00:01.100Z","msg":"placed","instance":"entry-1","request":"r2"}
{"level":"warn","time":"2026-01-01T00:00:01.150Z","msg":"store lost","instance":"entry-1","what":"servers"}
{"level":"warn","time":"2026-01-01T00:00:01.150Z","msg":"store lost","instance":"entry-2","what":"servers"}
{"level":"warn","time":"2026-01-01T00:00:09.150Z","msg":"store lost","instance":"entry-1","what":"servers"}
`

var _ = Describe("the timeline of a request", func() {
	It("contains its lines in order and other lines of its instances", func() {
		lines, err := explain.Read(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(explain.BuildTimeline("r1", lines).Write(&out)).To(Succeed())
		Expect(out.String()).To(Equal(`request, from 2026-01-01T00:00:01Z
      0.0  entry-1  placed  server=s1
    100.0  entry-1  reservation not granted  ticket=r1-0-2
    250.0  entry-1  answered  took=250
meanwhile at the same instances
    150.0  entry-1  store lost  what=servers
`))
	})

	It("reports that no line names the request", func() {
		var out bytes.Buffer
		Expect(explain.BuildTimeline("r9", nil).Write(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("no line"))
	})
})
