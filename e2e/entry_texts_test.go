package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logOf returns the log of a process so far.
func (f *fleet) logOf(name string) string {
	raw, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// Guards against prompts that run with an empty body, as an address in the list of servers ends the head of the request.
var _ = Describe("an entry with more than an address for its address", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSite()
		time.Sleep(loanSettle)
	})
	AfterAll(func() { s.close() })

	DescribeTable("names no server, and all others serve", func(behind string) {
		name := fmt.Sprintf("tool-%x", behind)
		s.announce(name, "model", s.engines[2].Addr()+behind, "ready")
		DeferCleanup(func() { s.store.Delete("servers", name) })
		reported := func(entry int) int { return strings.Count(s.logOf(fmt.Sprint("entry-", entry)), `"server":"`+name+`"`) }
		for n := range platformEntries {
			Eventually(reported, "3s", "20ms").WithArguments(n).Should(Equal(1))
		}
		for n := range 12 {
			id := fmt.Sprint(name, "-", n)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000, body: "prompt " + id}.send(n % platformEntries)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
			Expect(body).To(Equal(completeStream(id)))
		}
		for _, e := range s.engines {
			for _, v := range e.Seen() {
				Expect(v.Body).To(Equal("prompt " + v.ID))
			}
		}
		for n := range platformEntries {
			Expect(reported(n)).To(Equal(1))
			Eventually(func() string { return call("GET", "http://"+platformAddr(500+n)+"/metrics", "").body }, "3s", "50ms").
				Should(MatchRegexp(`entries_unreadable_total\{[^}]*kind="server"\} [1-9]`))
		}
	},
		Entry("a line feed behind it", "\n"),
		Entry("a line end behind it", "\r\n"),
		Entry("a blank behind it", " "),
		Entry("a slash and text behind it", "/t1"),
	)
})
