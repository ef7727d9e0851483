package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// estate is a site on the users' platform: stand-ins of its store and of its
// backend servers in the test's process, entry instances as processes.
type estate struct {
	*fleet
	store   *storeserver.Server
	engines []*workerserver.Server
	plain   []*workerserver.Server
	version int
}

const estateBase = 19_000

func estateAddr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", estateBase+offset) }

// Sizes of the stand-in engines: a prompt of 150,000 tokens needs two of them.
const (
	engineMemory = 100_000
	streamEvents = 12
)

func newEstate() *estate {
	return newEstateOf(3, workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory})
}

// newEstateOf starts a site with so many engines of one kind.
func newEstateOf(engines int, engine workerserver.Config) *estate {
	s := &estate{fleet: builtFleet(), store: storeserver.New(estateAddr(1))}
	Expect(s.store.Start()).To(Succeed())
	for i := range engines {
		s.engines = append(s.engines, s.server(fmt.Sprint("e", i), "model", engine))
	}
	for i := range 3 {
		s.plain = append(s.plain, s.server(fmt.Sprint("p", i), "registry", workerserver.Config{}))
	}
	s.configure("k1")
	for i := range 3 {
		s.entry(i)
	}
	for i := range 3 {
		Eventually(func() int { return call("GET", "http://"+estateAddr(300+i)+"/readiness", "").status }, "15s", "50ms").Should(Equal(200))
		Eventually(func() string { return call("GET", "http://"+estateAddr(200+i)+"/resolve?name=h&zone=dc-1", "").body }, "15s", "50ms").
			Should(And(ContainSubstring(estateAddr(100)), ContainSubstring(estateAddr(101)), ContainSubstring(estateAddr(102))))
		Eventually(func() string { return call("GET", "http://"+estateAddr(500+i)+"/admin/dump", "").body }, "15s", "50ms").
			Should(MatchRegexp(`"config_state":\s*"confirmed"`))
	}
	return s
}

func (s *estate) server(id, service string, cfg workerserver.Config) *workerserver.Server {
	cfg.ID, cfg.Addr = id, "127.0.0.1:0"
	w := workerserver.New(cfg)
	Expect(w.Start()).To(Succeed())
	s.announce(id, service, w.Addr(), "ready")
	return w
}

func (s *estate) announce(id, service, addr, state string) {
	Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: service, Addr: addr, DataCentre: "dc-0", Slots: 4, Leaving: state == "draining"})).To(Succeed())
}

// configure writes the next version, in which one customer holds a key.
func (s *estate) configure(key string) {
	s.version += 3
	route := func(name, kind, service string) storeserver.Route {
		return storeserver.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 8000}
	}
	Expect(s.store.PutSite(storeserver.Site{
		Version: s.version, Models: []string{"model"}, Plain: []string{"registry"}, EngineMemory: engineMemory, Keys: []string{key},
		Routes: []storeserver.Route{route("ask", "streaming", "model"), route("look", "safe", "registry"), route("print", "unsafe", "registry")},
	})).To(Succeed())
}

func (s *estate) entry(i int) {
	name := fmt.Sprint("entry-", i)
	path := filepath.Join(s.dir, name+".toml")
	Expect(os.WriteFile(path, []byte(fmt.Sprintf(`[instance]
name = %q
data_centre = "dc-%d"
region = "r"
caller_addr = %q
peer_addr = %q
admin_addr = %q
drain_timeout = "8s"
modules = ["platform.client", "platform.front", "http.admin"]
[platform.client]
store = %q
seeds = %q
[platform.front]
directory = %q
ready = %q
[control.members]
gossip = "200ms"
`, name, i, estateAddr(100+i), estateAddr(400+i), estateAddr(500+i), estateAddr(1), estateAddr(400), estateAddr(200+i), estateAddr(300+i))), 0o600)).To(Succeed())
	s.start(name, "serve", "--config", path)
}

func (s *estate) close() {
	s.stop()
	s.store.Close()
	for _, w := range append(s.engines, s.plain...) {
		w.Close()
	}
}

// attempt is a client attempt at entry 0.
type attempt struct {
	path, id, key string
	tokens        int
	body          string
}

// try sends an attempt whose fate does not matter.
func (a attempt) try(entry int) {
	resp, err := http.DefaultClient.Do(a.request(entry))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

func (a attempt) request(entry int) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+estateAddr(100+entry)+a.path, strings.NewReader(a.body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("X-Tenant", "somebody else")
	if a.tokens > 0 {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,100", a.tokens))
	}
	return req
}

func (a attempt) send(entry int) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(a.request(entry))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(raw)
}

func wholeStream(id string) string {
	var b bytes.Buffer
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(workerserver.Event(id, n))
	}
	return b.String()
}

func runs(servers []*workerserver.Server, id string) (n int) {
	for _, w := range servers {
		n += w.Runs(id)
	}
	return n
}

func sealOfOne(servers []string, id string) []string {
	var out []string
	for _, s := range servers {
		out = append(out, workerserver.Seal(s, id))
	}
	return out
}

var engineIDs = []string{"e0", "e1", "e2"}

var _ = Describe("on the users' platform", Ordered, func() {
	var s *estate
	BeforeAll(func() { s = newEstate() })
	AfterAll(func() { s.close() })

	It("passes a stream on with its signature and every event", func() {
		resp, body := attempt{path: "/ask/1?x=%20y", id: "s1", key: "k1", tokens: 900, body: "prompt"}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(wholeStream("s1")))
		Expect(resp.Header.Get("X-Response-Seal")).To(BeElementOf(sealOfOne(engineIDs, "s1")))
		Expect(resp.Header.Get("X-Request-Id")).To(Equal("s1"))
		Expect(runs(s.engines, "s1")).To(Equal(1))
	})

	It("tells the server the customer's name and the time left, and keeps the key", func() {
		_, _ = attempt{path: "/print/a/b?q=1", id: "u0", key: "k1", body: "label"}.send(0)
		var seen []workerserver.Seen
		for _, w := range s.plain {
			for _, v := range w.Seen() {
				if v.ID == "u0" {
					seen = append(seen, v)
				}
			}
		}
		Expect(seen).To(HaveLen(1))
		Expect(seen[0].Target).To(Equal("/print/a/b?q=1"))
		Expect(seen[0].Tenant).To(Equal("school"))
		Expect(seen[0].Body).To(Equal("label"))
		Expect(seen[0].Authorization).To(BeEmpty())
		Expect(seen[0].DeadlineMS).To(BeNumerically("<=", 5000))
		Expect(seen[0].DeadlineMS).To(BeNumerically(">", 3000))
	})

	It("refuses unknown routes and keys", func() {
		resp, _ := attempt{path: "/nowhere/", id: "x1", key: "k1"}.send(0)
		Expect(resp.StatusCode).To(Equal(404))
		resp, _ = attempt{path: "/look/1", id: "x2", key: "wrong"}.send(0)
		Expect(resp.StatusCode).To(Equal(401))
	})

	// A parcel gets two labels. The server printed one, the connection broke, and
	// the instance sent the request to another server.
	DescribeTable("never runs a once-only request twice", func(f workerserver.Fault, status int) {
		id := "once-" + string(f)
		for _, w := range s.plain {
			w.Inject(f)
		}
		resp, body := attempt{path: "/print/1", id: id, key: "k1", body: "label"}.send(1)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		Expect(resp.StatusCode).To(Equal(status))
		Expect(runs(s.plain, id)).To(BeNumerically("<=", 1))
		if status == 200 {
			Expect(body).To(Equal(workerserver.Body(id)))
		} else {
			Expect(resp.Header.Get("X-Response-Seal")).To(BeEmpty())
		}
	},
		Entry("answer lost", workerserver.Lost, 502),
		Entry("answer cut", workerserver.Cut, 502),
		Entry("bytes that are no answer", workerserver.Garbage, 502),
		Entry("a refusal that does not say that it did not run", workerserver.Busy, 502),
		Entry("an answer without a length", workerserver.Unframed, 200),
		Entry("a second answer", workerserver.Extra, 200),
	)

	// A label is reported as not printed, and a client that believes it prints
	// another: only a server's own promise may become such a refusal.
	It("says that a request did not run only when no server ran it", func() {
		for _, w := range s.plain {
			w.Inject(workerserver.Shed)
		}
		resp, _ := attempt{path: "/print/1", id: "shed", key: "k1"}.send(0)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs(s.plain, "shed")).To(BeZero())
	})

	DescribeTable("asks another server for an idempotent request", func(f workerserver.Fault) {
		id := "again-" + string(f)
		s.plain[0].Inject(f)
		s.plain[1].Inject(f)
		s.plain[2].Inject(f)
		resp, body := attempt{path: "/look/1", id: id, key: "k1"}.send(0)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		// All servers fail once, so the second attempt fails as well where the
		// first did; without faults left it succeeds.
		if resp.StatusCode == 200 {
			Expect(body).To(Equal(workerserver.Body(id)))
		}
		s.plain[0].Inject(f)
		Eventually(func() string {
			_, body := attempt{path: "/look/1", id: id + "-2", key: "k1"}.send(0)
			return body
		}, "5s", "20ms").Should(Equal(workerserver.Body(id + "-2")))
	},
		Entry("answer lost", workerserver.Lost),
		Entry("answer cut", workerserver.Cut),
		Entry("bytes that are no answer", workerserver.Garbage),
		Entry("refused", workerserver.Shed),
		Entry("no answer", workerserver.Mute),
	)

	// A caller gets the answer of somebody else. The server sent its last answer
	// twice, and the second copy arrived on the kept connection where the answer
	// to the next request was due.
	It("gives each caller its own answer after extra answers", func() {
		for i := range 30 {
			s.plain[i%3].Inject(workerserver.Extra)
			id := fmt.Sprint("own-", i)
			resp, body := attempt{path: "/look/1", id: id, key: "k1"}.send(0)
			Expect(resp.StatusCode).To(Equal(200))
			Expect(body).To(Equal(workerserver.Body(id)))
		}
	})

	// A review arrives with a piece missing or twice. The engine broke off in the
	// middle of an event, and the stream went on at another engine.
	It("continues a broken stream at another engine without a gap", func() {
		for _, w := range s.engines {
			w.Inject(workerserver.Cut)
		}
		resp, body := attempt{path: "/ask/1", id: "resume", key: "k1", tokens: 900}.send(0)
		for _, w := range s.engines {
			w.ClearFaults()
		}
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(wholeStream("resume")))
		Expect(runs(s.engines, "resume")).To(Equal(2))
	})

	// A review ends in the middle and looks complete: the engine that was to go on
	// failed, and its answer was appended.
	It("breaks a stream off when the engine that was to go on fails", func() {
		defer func() {
			for _, w := range s.engines {
				w.ClearFaults()
			}
		}()
		outcome := func() string {
			for _, w := range s.engines {
				w.ClearFaults()
				w.Inject(workerserver.Cut)
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+estateAddr(100)+"/ask/1", strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			req.Host = "h.example"
			id := fmt.Sprint("half-", time.Now().UnixNano())
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("Authorization", "Bearer k1")
			req.Header.Set("X-Token-Counts", "900,100")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			// The first half is out; whoever goes on fails.
			for _, w := range s.engines {
				w.ClearFaults()
				w.Inject(workerserver.Failed)
			}
			raw, err := io.ReadAll(resp.Body)
			if err == nil {
				return string(raw)
			}
			Expect(wholeStream(id)).To(HavePrefix(string(raw)))
			return "broken off"
		}
		Expect(outcome()).To(Equal("broken off"))
	})

	It("reads a prompt larger than one engine on two and gives the memory back", func() {
		resp, body := attempt{path: "/ask/1", id: "large", key: "k1", tokens: 150_000}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(wholeStream("large")))
		helped := false
		for _, w := range s.engines {
			for _, v := range w.Seen() {
				helped = helped || v.ID == "large" && strings.Contains(v.Helpers, "/large-")
			}
		}
		Expect(helped).To(BeTrue())
		for _, w := range s.engines {
			Eventually(w.Reserved, "5s", "20ms").Should(BeZero())
			Expect(w.DoubleUse()).To(BeZero())
		}
	})

	// An engine works on for callers who have left, and those who stay wait.
	// An engine answers fewer and fewer long prompts: memory was set aside by an
	// order that got no answer and was carried out after the request had ended, or
	// the order that gives memory back was lost. Nobody was left to end it.
	DescribeTable("loses no memory when orders are", func(reserve []workerserver.OrderFault) {
		for _, e := range s.engines {
			e.InjectOrder(reserve...)
		}
		id := "orders-" + string(reserve[0])
		resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000}.send(0)
		if resp.StatusCode == 200 {
			Expect(body).To(Equal(wholeStream(id)))
		} else {
			Expect(resp.StatusCode).To(BeElementOf(429, 503))
			Expect(runs(s.engines, id)).To(BeZero())
		}
		// Late orders are carried out within a second.
		time.Sleep(time.Second)
		for _, e := range s.engines {
			Eventually(e.Reserved, "4s", "20ms").Should(BeZero())
			Expect(e.DoubleUse()).To(BeZero())
		}
	},
		Entry("unanswered", []workerserver.OrderFault{workerserver.OrderUnanswered}),
		Entry("carried out late", []workerserver.OrderFault{workerserver.OrderLate}),
		Entry("dropped", []workerserver.OrderFault{workerserver.OrderDropped}),
		Entry("late again and again", []workerserver.OrderFault{workerserver.OrderLate, workerserver.OrderLate, workerserver.OrderLate, workerserver.OrderLate}),
	)

	It("ends the work of a client that leaves", func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+estateAddr(100)+"/ask/1", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header.Set("X-Request-Id", "leaves")
		req.Header.Set("Authorization", "Bearer k1")
		req.Header.Set("X-Token-Counts", "900,100")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(func() int {
			return s.engines[0].Disconnects() + s.engines[1].Disconnects() + s.engines[2].Disconnects()
		}, "3s", "20ms").Should(BeNumerically(">=", 1))
	})

	// A leaving server still gets requests, and cuts them off when it ends.
	It("sends nothing to a server that is leaving", func() {
		s.announce("p0", "registry", s.plain[0].Addr(), "draining")
		Eventually(func() bool {
			before := len(s.plain[0].Seen())
			for i := range 6 {
				_, _ = attempt{path: "/look/1", id: fmt.Sprint("drain-", time.Now().UnixNano(), i), key: "k1"}.send(i % 3)
			}
			return len(s.plain[0].Seen()) == before
		}, "3s", "50ms").Should(BeTrue())
		s.announce("p0", "registry", s.plain[0].Addr(), "ready")
	})

	// A key that was taken away goes on working at instances that the store turns
	// away or that restart; a new key fails there.
	It("puts a configuration in force at every instance and never goes back", func() {
		s.configure("k2")
		for i := range 3 {
			Eventually(func() int {
				resp, _ := attempt{path: "/look/1", id: fmt.Sprint("cfg-", i), key: "k2"}.send(i)
				return resp.StatusCode
			}, "2s", "20ms").Should(Equal(200))
			resp, _ := attempt{path: "/look/1", id: fmt.Sprint("old-", i), key: "k1"}.send(i)
			Expect(resp.StatusCode).To(Equal(401))
		}
		s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
		s.configure("k1")
		for i := range 3 {
			Eventually(func() int {
				resp, _ := attempt{path: "/look/1", id: fmt.Sprint("cfg2-", i), key: "k1"}.send(i)
				return resp.StatusCode
			}, "3s", "20ms").Should(Equal(200))
		}
	})

	It("serves on while the store is down", func() {
		s.store.SetFaults(storeserver.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			resp, _ := attempt{path: "/look/1", id: fmt.Sprint("down-", i), key: "k1"}.send(i)
			Expect(resp.StatusCode).To(Equal(200))
		}
		s.store.SetFaults(storeserver.Faults{})
	})

	// Requests are refused while most servers stand ready: the store is away, some servers
	// leave, and each instance learned of each of them by requests of its own callers.
	It("passes over a server at all instances that one of them saw turn work away", func() {
		leaving := s.server("a0", "registry", workerserver.Config{DefaultFault: workerserver.Shed})
		defer leaving.Close()
		defer s.store.Delete("servers", "a0")
		look := func(entry, n int) {
			resp, _ := attempt{path: "/look/1", id: fmt.Sprintf("away-%d-%d", entry, n), key: "k1"}.send(entry)
			Expect(resp.StatusCode).To(Equal(200))
		}
		var began time.Time
		sent := 0
		Eventually(func() int {
			sent++
			began = time.Now()
			look(0, sent)
			return len(leaving.Seen())
		}, "5s", "20ms").Should(Equal(1))
		for i := 1; i < 3; i++ {
			Eventually(func() string { return call("GET", "http://"+estateAddr(500+i)+"/admin/dump", "").body }, "1s", "5ms").
				Should(MatchRegexp(`"passed_over":\s*\[\s*"a0"`))
			for n := range 4 {
				look(i, n)
			}
		}
		triedAgain := 3 * int(time.Since(began)/(1500*time.Millisecond))
		Expect(len(leaving.Seen())).To(BeNumerically("<=", 1+triedAgain))
	})

	// All instances refuse all requests: a tool of another team wrote one entry of its
	// own among those of the servers, which none of them could read.
	It("serves on among entries of another writer, through an outage and a restart", func() {
		spoil := func(kind, name string) { Expect(s.store.Put(kind, name, []any{"not", "ours"})).To(Succeed()) }
		serves := func(step string) {
			for i := range 3 {
				resp, _ := attempt{path: "/look/1", id: fmt.Sprint("other-", step, i, time.Now().UnixNano()), key: "k1"}.send(i)
				Expect(resp.StatusCode).To(Equal(200), "%s at instance %d", step, i)
			}
		}
		for i := range 5 {
			spoil("servers", fmt.Sprint("a-tool-", i))
			spoil("auburnmoor-entries", fmt.Sprint("a-tool-", i))
		}
		serves("new entries")
		s.store.SetFaults(storeserver.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		serves("outage")
		s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
		s.signal("entry-2", syscall.SIGTERM)
		s.wait("entry-2")
		s.entry(2)
		Eventually(func() int { return call("GET", "http://"+estateAddr(302)+"/readiness", "").status }, "15s", "50ms").Should(Equal(200))
		serves("restart")
		// Changes are still seen; among idle servers the first by name is used.
		fresh := s.server("a9", "registry", workerserver.Config{})
		Eventually(func() int {
			serves("new server")
			return len(fresh.Seen())
		}, "5s", "50ms").Should(BeNumerically(">", 0))
		s.store.Delete("servers", "a9")
		DeferCleanup(fresh.Close)
		for i := range 5 {
			s.store.Delete("servers", fmt.Sprint("a-tool-", i))
			s.store.Delete("auburnmoor-entries", fmt.Sprint("a-tool-", i))
		}
	})

	It("uses a server again whose entry was spoilt, and one that starts again under its ID", func() {
		seen := func(n int) func() bool {
			return func() bool {
				before := len(s.plain[n].Seen())
				for i := range 6 {
					_, _ = attempt{path: "/look/1", id: fmt.Sprint("again-", time.Now().UnixNano(), i), key: "k1"}.send(i % 3)
				}
				return len(s.plain[n].Seen()) > before
			}
		}
		Expect(s.store.Put("servers", "p1", map[string]any{"state": 7})).To(Succeed())
		Eventually(seen(1), "3s", "50ms").Should(BeFalse())
		s.announce("p1", "registry", s.plain[1].Addr(), "ready")
		Eventually(seen(1), "3s", "50ms").Should(BeTrue())
		life := func(state string, born int) {
			Expect(s.store.Put("servers", "p0", map[string]any{
				"service": "registry", "address": s.plain[0].Addr(), "zone": "dc-0", "slots": 4, "state": state, "born": born,
			})).To(Succeed())
		}
		life("draining", 1000)
		Eventually(seen(0), "3s", "50ms").Should(BeFalse())
		life("ready", 1000)
		Consistently(seen(0), "1s", "50ms").Should(BeFalse())
		life("ready", 2000)
		Eventually(seen(0), "3s", "50ms").Should(BeTrue())
	})

	// Long prompts wait though the engines are idle: the work of a request that had
	// ended was never taken off, and all instances went on counting it.
	It("counts no work when nothing is in progress", func() {
		for i := range 3 {
			Eventually(func() map[string]any {
				var d struct {
					Loads struct {
						Totals map[string]any `json:"totals"`
					} `json:"control.loads"`
				}
				Expect(json.Unmarshal([]byte(call("GET", "http://"+estateAddr(500+i)+"/admin/dump", "").body), &d)).To(Succeed())
				Expect(d.Loads.Totals).NotTo(BeNil())
				return d.Loads.Totals
			}, "10s", "50ms").Should(BeEmpty())
		}
	})

	It("goes on serving after SIGHUP", func() {
		s.signal("entry-2", syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
		resp, _ := attempt{path: "/look/1", id: "hup", key: "k1"}.send(2)
		Expect(resp.StatusCode).To(Equal(200))
	})

	// A rolling restart cuts answers off.
	It("finishes what it has when it is told to stop", func() {
		type outcome struct{ body string }
		done := make(chan outcome, 1)
		go func() {
			defer GinkgoRecover()
			_, body := attempt{path: "/ask/1", id: "last", key: "k1", tokens: 900}.send(2)
			done <- outcome{body}
		}()
		Eventually(func() int { return runs(s.engines, "last") }, "3s", "5ms").Should(Equal(1))
		s.signal("entry-2", syscall.SIGTERM)
		Expect((<-done).body).To(Equal(wholeStream("last")))
		Eventually(func() string { return call("GET", "http://"+estateAddr(200)+"/resolve?name=h&zone=dc-1", "").body }, "3s", "50ms").
			ShouldNot(ContainSubstring(estateAddr(102)))
		s.wait("entry-2")
		var body struct {
			Items []json.RawMessage `json:"items"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+estateAddr(1)+"/objects/auburnmoor-entries", "").body), &body)).To(Succeed())
		Expect(body.Items).To(HaveLen(2))
	})

	// A review is cut off by a restart: the instance took it seconds after it was
	// told to stop, and its time to drain ended before the review did.
	It("refuses what comes long after it was told to stop", func() {
		for _, w := range s.engines {
			w.Inject(workerserver.Mute)
		}
		held := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, _ := attempt{path: "/ask/1", id: "held", key: "k1", tokens: 900}.send(1)
			held <- resp.StatusCode
		}()
		Eventually(func() int { return runs(s.engines, "held") }, "3s", "5ms").Should(Equal(1))
		s.signal("entry-1", syscall.SIGTERM)
		time.Sleep(3 * time.Second)
		resp, _ := attempt{path: "/look/1", id: "late", key: "k1"}.send(1)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(resp.Close).To(BeTrue())
		Expect(runs(s.plain, "late")).To(BeZero())
		Expect(<-held).To(Equal(504))
		s.wait("entry-1")
	})
})
