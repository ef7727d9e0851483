package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
	"github.com/auburnmoor/auburnmoor/result"
)

const (
	// deadlyPart crashes the engines that begin to write an answer on it, commonPart is the
	// first part of all prompts.
	deadlyPart = "dead"
	commonPart = "c0"
	// decidingCrashes is the number of crashes after which a part has to be known, partDelay the
	// time until all instances know, partTrials the number of deliberate trials after that.
	decidingCrashes = 5
	partDelay       = time.Second
	partTrials      = 3
	// maxPartCrashes bounds the engines that one part may crash in all.
	maxPartCrashes = 6
	// minSoundShare is the share of sound requests that are answered soundDelay after the
	// deciding crash.
	minSoundShare = 0.98
	soundDelay    = 2 * time.Second
)

// partTraffic sends requests with a prompt of several parts to the instances in turn, no two
// alike, until it is stopped.
type partTraffic struct {
	prefix, path string
	perSecond    int
	parts        func(n int) string

	mu    sync.Mutex
	sent  atomic.Int64
	wg    sync.WaitGroup
	halt  chan struct{}
	ended []partOutcome
}

// partOutcome is how one of the requests ended.
type partOutcome struct {
	id        string
	began     time.Time
	took      time.Duration
	status    int
	whole     bool
	body      string
	retryText string
}

func (p *partTraffic) start() {
	p.halt = make(chan struct{})
	p.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(p.perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-p.halt:
				return
			case <-tick.C:
				p.wg.Go(func() { p.send(n) })
			}
		}
	})
}

func (p *partTraffic) send(n int) {
	a := attempt{path: p.path, id: fmt.Sprint(p.prefix, "-", n), key: "k1", tokens: 900, body: fmt.Sprint("prompt of ", p.prefix, " ", n), parts: p.parts(n)}
	o := partOutcome{id: a.id, began: time.Now()}
	p.sent.Add(1)
	resp, err := http.DefaultClient.Do(a.request(n % platformEntries))
	if err == nil {
		o.status, o.retryText = resp.StatusCode, resp.Header.Get("Retry-After")
		o.body = readBody(resp)
		o.whole = o.status == http.StatusOK && o.body == completeStream(a.id)
	}
	o.took = time.Since(o.began)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, o)
}

// stop ends the traffic and returns the outcomes of the requests sent after a time.
func (p *partTraffic) stop(after time.Time) []partOutcome {
	close(p.halt)
	p.wg.Wait()
	return slices.DeleteFunc(slices.Clone(p.ended), func(o partOutcome) bool { return o.began.Before(after) })
}

func shareOfWhole(outcomes []partOutcome) float64 {
	n := 0
	for _, o := range outcomes {
		if o.whole {
			n++
		}
	}
	return float64(n) / float64(max(1, len(outcomes)))
}

// crashTimes are the times of the crashes of all engines, in order.
func (s *platformSite) crashTimes() (out []time.Time) {
	for _, w := range s.engines {
		out = append(out, w.CrashTimes()...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// partArrivals counts the requests with a prompt part that reached engines after a time.
func (s *platformSite) partArrivals(part string, after time.Time) (n int) {
	for _, w := range s.engines {
		for _, v := range w.Seen() {
			if v.At.After(after) && strings.Contains(v.Parts, part+":") {
				n++
			}
		}
	}
	return n
}

func (s *platformSite) setDeadlyParts(ids ...string) {
	for _, w := range s.engines {
		w.SetDeadlyParts(ids...)
	}
}

// middleOfPrompt returns the parts of a prompt with the deadly one in the middle.
func middleOfPrompt(n int) string {
	return fmt.Sprintf("%s:40,%s:300,b%d:100,f%d:460", commonPart, deadlyPart, n%7, n)
}

// announceVersion lists an engine with a version of its software.
func (s *platformSite) announceVersion(id, addr, version string) {
	Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: "model", Addr: addr, DataCentre: "dc-0", Slots: 4, Version: version})).To(Succeed())
}

// newPartSite starts a site of eight engines that prefill a prompt before they begin to write.
func newPartSite() *platformSite {
	return newPlatformSiteWith(8, workerserver.Config{
		Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory, RestartAfter: 1500 * time.Millisecond, Prefill: 60 * time.Millisecond,
	})
}

// Guards against engines that crash one after the other under requests that share one part of
// their prompts, no two alike, at any instance.
var _ = Describe("a prompt part that crashes the servers that write an answer on it", func() {
	DescribeTable("ends few servers", func(deadly func(n int) string) {
		s := newPartSite()
		DeferCleanup(s.close)
		s.setDeadlyParts(deadlyPart)
		sound := &partTraffic{prefix: "sound", path: "/ask/1", perSecond: 30, parts: func(n int) string {
			return fmt.Sprintf("%s:40,b%d:400,a%d:460", commonPart, n%7, n)
		}}
		sound.start()
		time.Sleep(time.Second)
		dead := &partTraffic{prefix: "dead", path: "/ask/1", perSecond: 8, parts: deadly}
		dead.start()
		time.Sleep(8 * time.Second)
		crashes := s.crashTimes()
		Expect(crashes).NotTo(BeEmpty())
		decided := crashes[min(len(crashes), decidingCrashes)-1]
		refused := dead.stop(decided.Add(partDelay))
		soundAfter := sound.stop(decided.Add(soundDelay))
		GinkgoWriter.Printf("%d engines crashed, %d late arrivals, %.3f of %d sound requests whole\n",
			len(s.crashTimes()), s.partArrivals(deadlyPart, decided.Add(partDelay)), shareOfWhole(soundAfter), len(soundAfter))
		Expect(s.partArrivals(deadlyPart, decided.Add(partDelay))).To(BeNumerically("<=", partTrials))
		Expect(len(s.crashTimes())).To(BeNumerically("<=", maxPartCrashes))
		Expect(shareOfWhole(soundAfter)).To(BeNumerically(">=", minSoundShare))
		Expect(refused).NotTo(BeEmpty())
	},
		Entry("as the first part", func(n int) string { return fmt.Sprintf("%s:40,%s:400,x%d:460", deadlyPart, commonPart, n) }),
		Entry("in the middle", middleOfPrompt),
		Entry("just before the last part", func(n int) string { return fmt.Sprintf("%s:40,b%d:300,%s:100,f%d:460", commonPart, n%7, deadlyPart, n) }),
	)

	// Guards against a part that is refused at servers of a version that serves it, and against one
	// that is never refused because servers of the old version answer it.
	It("is refused at servers of the version that crash under it only", func() {
		s := newPartSite()
		DeferCleanup(s.close)
		for i, w := range s.engines {
			if i%2 == 0 {
				w.SetDeadlyParts(deadlyPart)
				s.announceVersion(fmt.Sprint("e", i), w.Addr(), "v2")
			} else {
				s.announceVersion(fmt.Sprint("e", i), w.Addr(), "v1")
			}
		}
		time.Sleep(partDelay)
		dead := &partTraffic{prefix: "dead", path: "/ask/1", perSecond: 20, parts: middleOfPrompt}
		dead.start()
		time.Sleep(6 * time.Second)
		crashes := s.crashTimes()
		Expect(crashes).NotTo(BeEmpty())
		after := dead.stop(crashes[min(len(crashes), decidingCrashes)-1].Add(soundDelay))
		Expect(len(s.crashTimes())).To(BeNumerically("<=", maxPartCrashes))
		Expect(len(after)).To(BeNumerically(">", 20))
		Expect(shareOfWhole(after)).To(BeNumerically(">=", minSoundShare))
	})

	// Guards against a part that stays refused, and a refusal that does not say when to come back.
	It("is refused at once with its own code, and served again once it is sound", func() {
		s := newPartSite()
		DeferCleanup(s.close)
		s.setDeadlyParts(deadlyPart)
		dead := &partTraffic{prefix: "dead", path: "/ask/1", perSecond: 10, parts: middleOfPrompt}
		dead.start()
		time.Sleep(4 * time.Second)
		crashes := s.crashTimes()
		Expect(crashes).NotTo(BeEmpty())
		s.setDeadlyParts()
		refused := dead.stop(crashes[min(len(crashes), decidingCrashes)-1].Add(partDelay))
		longest := 0.0
		for _, o := range refused {
			Expect(o.status).To(Equal(http.StatusServiceUnavailable), o.body)
			Expect(o.body).To(ContainSubstring(fmt.Sprint(`"code":`, uint32(result.PartQuarantined))))
			Expect(o.body).To(ContainSubstring(deadlyPart))
			Expect(o.took).To(BeNumerically("<", 300*time.Millisecond))
			after, err := strconv.ParseFloat(o.retryText, 64)
			Expect(err).NotTo(HaveOccurred())
			longest = max(longest, after)
		}
		Expect(longest).To(And(BeNumerically(">", 0), BeNumerically("<=", 10)))
		time.Sleep(time.Duration(longest * float64(time.Second)))
		for n := range platformEntries {
			resp, body := attempt{path: "/ask/1", id: fmt.Sprint("again-", n), key: "k1", tokens: 900, body: "again", parts: middleOfPrompt(n)}.send(n)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
		}
	})

	It("is shown to the operator, who can free it", func() {
		s := newPartSite()
		DeferCleanup(s.close)
		s.setDeadlyParts(deadlyPart)
		dead := &partTraffic{prefix: "dead", path: "/ask/1", perSecond: 10, parts: middleOfPrompt}
		dead.start()
		time.Sleep(4 * time.Second)
		dead.stop(time.Now())
		s.setDeadlyParts()
		var d struct {
			Quarantine quarantine.Dump `json:"control.quarantine"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(501)+"/admin/dump", "").body), &d)).To(Succeed())
		Expect(d.Quarantine.Parts).To(HaveLen(1))
		Expect(d.Quarantine.Parts[0].ID).To(Equal(deadlyPart))
		Expect(d.Quarantine.Parts[0].NextTrialMS).To(BeNumerically(">", 0))
		clearPart := "http://" + platformAddr(501) + "/admin/operate/control.quarantine/clear?subject=" + d.Quarantine.Parts[0].Key
		Expect(call("POST", clearPart, "").status).To(Equal(204))
		Eventually(func() int {
			resp, _ := attempt{path: "/ask/1", id: fmt.Sprint("freed-", time.Now().UnixNano()), key: "k1", tokens: 900, body: "freed", parts: middleOfPrompt(1)}.send(2)
			return resp.StatusCode
		}, "2s", "50ms").Should(Equal(200))
	})
})
