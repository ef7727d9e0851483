package eventlog_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestEventlog(t *testing.T) { testkit.Suite(t, "eventlog") }

// blockingWriter blocks writes until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *blockingWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

var _ = Describe("the log", func() {
	// Guards against requests that hang because the log collector does not read.
	It("never blocks, drops successes before failures and reports what it dropped", func() {
		g := &blockingWriter{open: make(chan struct{})}
		w := eventlog.NewWriter(g)
		log := eventlog.New(w)
		for range 3000 {
			log.Info("answered")
		}
		for range 1000 {
			log.Warn("attempt failed")
		}
		Expect(w.Dropped()).To(BeNumerically(">", 500))
		close(g.open)
		Eventually(g.text, "5s", "10ms").Should(ContainSubstring("log lines dropped"))
		Expect(strings.Count(g.text(), "attempt failed")).To(Equal(1000))
		Expect(strings.Count(g.text(), "answered")).To(BeNumerically("<=", 2100))
	})

	// Guards against clients whose long paths fill the memory of a process whose log is not read.
	It("queues a bounded number of bytes", func() {
		g := &blockingWriter{open: make(chan struct{})}
		w := eventlog.NewWriter(g)
		log := eventlog.New(w)
		for range 2000 {
			log.Warn("refused", zap.String("path", strings.Repeat("x", 16<<10)))
		}
		close(g.open)
		Expect(w.Sync()).To(Succeed())
		Eventually(g.text, "5s", "10ms").Should(ContainSubstring("log lines dropped"))
		Expect(len(g.text())).To(BeNumerically("<", 5<<20))
		log.Warn("refused", zap.String("path", "/short"))
		Eventually(g.text, "5s", "10ms").Should(ContainSubstring("/short"))
	})

	It("writes durations as milliseconds and errors as text", func() {
		g := &blockingWriter{open: make(chan struct{})}
		close(g.open)
		eventlog.New(eventlog.NewWriter(g)).Info("x", zap.Duration("took", 1500*time.Microsecond), eventlog.Error(os.ErrNotExist), eventlog.Error(nil))
		Eventually(g.text, "5s", "5ms").Should(And(ContainSubstring(`"took":1.5`), ContainSubstring(`"error":"file does not exist"`)))
	})
})

// sources are the packages whose log lines and metrics operators read on the
// platform.
var sources = []string{"../control/follow", "../control/members", "../control/limits", "../control/loads",
	"../control/notices", "../control/quarantine", "../serve/intake", "../peerlink", "../serve/relay", "../serve/peerproxy", "../platform", "../cli", "../eventlog"}

var (
	eventCalls  = regexp.MustCompile(`(?:\.(?:Info|Warn|Error)|x\.(?:log|warn))\("([^"]+)"|\\"msg\\":\\"([^\\]+)\\"`)
	metricCalls = regexp.MustCompile(`(?:Counter|Histogram|Gauge|count)\("([a-z_]+)"`)
)

func callNames(pattern *regexp.Regexp) map[string]string {
	out := map[string]string{}
	for _, dir := range sources {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		Expect(err).NotTo(HaveOccurred())
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			raw, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			for _, m := range pattern.FindAllStringSubmatch(string(raw), -1) {
				out[m[1]+strings.Join(m[2:], "")] = f
			}
		}
	}
	return out
}

var _ = Describe("docs/EVENTS.md", func() {
	It("lists exactly the events and metrics of the code", func() {
		raw, err := os.ReadFile("../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		events, metrics, _ := strings.Cut(string(raw), "## Metrics")
		for _, part := range []struct {
			text string
			code map[string]string
		}{{events, callNames(eventCalls)}, {metrics, callNames(metricCalls)}} {
			listed := map[string]bool{}
			for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(part.text, -1) {
				listed[m[1]] = true
				Expect(part.code).To(HaveKey(m[1]), "listed but not in the code")
			}
			for name, file := range part.code {
				Expect(listed).To(HaveKey(name), "%s is not listed", file)
			}
		}
	})
})
