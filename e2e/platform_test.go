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

// platformSite is a site on the users' platform: the store and the backend servers are
// stand-ins in the test process, the entry instances are processes.
type platformSite struct {
	*fleet
	store   *storeserver.Server
	engines []*workerserver.Server
	plain   []*workerserver.Server
	version int
	// settings are added to those of each instance, instance to those of its process.
	settings, instance string
	// descriptors is the number of descriptors that an instance can get, zero for that of the test.
	descriptors int
	// bodyBytes is the limit of a body in bytes, zero for that of the stand-in.
	bodyBytes int
}

const platformBasePort = 19_000

// platformEntries is the number of entry instances of a site.
const platformEntries = 3

func platformAddr(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", platformBasePort+portShift+offset)
}

// Memory in tokens and events per answer of a stand-in engine; a prompt of 150,000 tokens
// needs two engines.
const (
	engineMemory = 100_000
	streamEvents = 12
)

// firstStart are settings of instances that no others ran before.
const firstStart = "[serve.relay]\nfirst_start = true\n"

func newPlatformSite() *platformSite {
	return newPlatformSiteWith(3, workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory})
}

// newPlatformSiteWith starts a site with the given number of identical engines.
func newPlatformSiteWith(engines int, engine workerserver.Config) *platformSite {
	return newPlatformSiteUsing(firstStart, engines, engine)
}

// newPlatformSiteUsing is newPlatformSiteWith with further settings of the instances.
func newPlatformSiteUsing(settings string, engines int, engine workerserver.Config) *platformSite {
	s := &platformSite{fleet: buildFleet(), store: storeserver.New(platformAddr(1)), settings: settings}
	s.startServers(engines, engine)
	for i := range platformEntries {
		s.startEntry(i)
	}
	s.awaitReady()
	return s
}

// startServers starts the store and the backend servers.
func (s *platformSite) startServers(engines int, engine workerserver.Config) {
	Expect(s.store.Start()).To(Succeed())
	for i := range engines {
		s.engines = append(s.engines, s.startServer(fmt.Sprint("e", i), "model", engine))
	}
	for i := range 3 {
		s.plain = append(s.plain, s.startServer(fmt.Sprint("p", i), "registry", workerserver.Config{}))
	}
	s.configure("k1")
}

// awaitReady waits until every instance is ready and knows the others.
func (s *platformSite) awaitReady() {
	for i := range platformEntries {
		Eventually(func() int { return call("GET", "http://"+platformAddr(300+i)+"/readiness", "").status }, "15s", "50ms").Should(Equal(200))
		Eventually(func() string { return call("GET", "http://"+platformAddr(200+i)+"/resolve?name=h&zone=dc-1", "").body }, "15s", "50ms").
			Should(And(ContainSubstring(platformAddr(100)), ContainSubstring(platformAddr(101)), ContainSubstring(platformAddr(102))))
		Eventually(func() string { return call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body }, "15s", "50ms").
			Should(MatchRegexp(`"config_state":\s*"confirmed"`))
	}
}

func (s *platformSite) startServer(id, service string, cfg workerserver.Config) *workerserver.Server {
	cfg.ID, cfg.Addr = id, "127.0.0.1:0"
	w := workerserver.New(cfg)
	Expect(w.Start()).To(Succeed())
	s.announce(id, service, w.Addr(), "ready")
	return w
}

func (s *platformSite) announce(id, service, addr, state string) {
	Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: service, Addr: addr, DataCentre: "dc-0", Slots: 4, Leaving: state == "draining"})).To(Succeed())
}

// configure stores the next configuration version, in which one customer has the given key.
func (s *platformSite) configure(key string) {
	s.configureWith(storeserver.Site{Keys: []string{key}})
}

// configureWith stores the next configuration version with the given content and the usual services
// and routes.
func (s *platformSite) configureWith(c storeserver.Site) {
	s.version += 3
	route := func(name, kind, service string) storeserver.Route {
		return storeserver.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 8000}
	}
	c.BodyBytes = s.bodyBytes
	c.Version, c.Models, c.Plain, c.EngineMemory = s.version, []string{"model"}, []string{"registry"}, engineMemory
	c.Routes = []storeserver.Route{route("ask", "streaming", "model"), route("look", "safe", "registry"), route("print", "unsafe", "registry")}
	Expect(s.store.PutSite(c)).To(Succeed())
}

func (s *platformSite) startEntry(i int) {
	name := fmt.Sprint("entry-", i)
	path := filepath.Join(s.dir, name+".toml")
	Expect(os.WriteFile(path, s.entrySettings(i, "platform.client"), 0o600)).To(Succeed())
	s.startLimited(name, s.descriptors, "serve", "--config", path)
}

// entrySettings returns the settings of an instance that calls the platform through the given module.
func (s *platformSite) entrySettings(i int, client string) []byte {
	return s.entrySettingsIn(i, i, client)
}

// entrySettingsIn is entrySettings for an instance in the data centre of a number.
func (s *platformSite) entrySettingsIn(i, dataCentre int, client string) []byte {
	return s.entrySettingsAt(i, dataCentre, client, platformAddr(1))
}

// entrySettingsAt is entrySettingsIn for an instance that reaches the store at an address.
func (s *platformSite) entrySettingsAt(i, dataCentre int, client, store string) []byte {
	return fmt.Appendf(nil, `[instance]
name = %q
data_centre = "dc-%d"
region = "r"
caller_addr = %q
peer_addr = %q
admin_addr = %q
drain_timeout = "8s"
modules = [%q, "platform.front", "http.admin"]
%s
[%s]
store = %q
seeds = %q
[platform.front]
directory = %q
ready = %q
[control.members]
gossip = "200ms"
%s`, fmt.Sprint("entry-", i), dataCentre, platformAddr(100+i), platformAddr(400+i), platformAddr(500+i), client, s.instance, client,
		store, platformAddr(400), platformAddr(200+i), platformAddr(300+i), s.settings)
}

func (s *platformSite) close() {
	s.stop()
	s.store.Close()
	for _, w := range append(s.engines, s.plain...) {
		w.Close()
	}
}

// attempt is one request of a client.
type attempt struct {
	path, id, key string
	tokens        int
	body          string
	// parts lists the parts of the prompt.
	parts string
}

// sendAndDiscard sends the request and ignores its outcome.
func (a attempt) sendAndDiscard(entry int) {
	resp, err := http.DefaultClient.Do(a.request(entry))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

func (a attempt) request(entry int) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+platformAddr(100+entry)+a.path, strings.NewReader(a.body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("X-Tenant", "somebody else")
	if a.parts != "" {
		req.Header.Set("X-Prompt-Prefix", a.parts)
	}
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

// readBody reads a body to its end; one that breaks off is returned as far as it came.
func readBody(resp *http.Response) string {
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

func completeStream(id string) string {
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

func sealsOf(servers []string, id string) []string {
	var out []string
	for _, s := range servers {
		out = append(out, workerserver.Seal(s, id))
	}
	return out
}

var engineIDs = []string{"e0", "e1", "e2"}

var _ = Describe("on the users' platform", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPlatformSite()
		time.Sleep(loanSettle)
	})
	AfterAll(func() { s.close() })

	It("relays a stream with its signature and every event", func() {
		resp, body := attempt{path: "/ask/1?x=%20y", id: "s1", key: "k1", tokens: 900, body: "prompt"}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(completeStream("s1")))
		Expect(resp.Header.Get("X-Response-Seal")).To(BeElementOf(sealsOf(engineIDs, "s1")))
		Expect(resp.Header.Get("X-Request-Id")).To(Equal("s1"))
		Expect(runs(s.engines, "s1")).To(Equal(1))
	})

	It("forwards the customer's name and the remaining time to the server, but not the key", func() {
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

	// Guards against a non-idempotent request that runs twice: a server runs it, the connection
	// breaks, and the instance sends it to another server.
	DescribeTable("never runs a non-idempotent request twice", func(f workerserver.Fault, status int) {
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

	// Guards against a request that is reported as not run although it ran, so that the client
	// repeats it. Only a server's explicit statement may be turned into such a refusal.
	It("reports a request as not run only if no server ran it", func() {
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

	DescribeTable("retries an idempotent request at another server", func(f workerserver.Fault) {
		id := "again-" + string(f)
		s.plain[0].Inject(f)
		s.plain[1].Inject(f)
		s.plain[2].Inject(f)
		resp, body := attempt{path: "/look/1", id: id, key: "k1"}.send(0)
		for _, w := range s.plain {
			w.ClearFaults()
		}
		// Each server fails once, so the retry may fail too; it succeeds at a server that has
		// no fault left.
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

	// Guards against a caller that gets the answer to another request: a server sends an answer
	// twice, and the copy is read from the kept-alive connection as the answer to the next
	// request.
	It("returns the right answer to each caller after a server sent an answer twice", func() {
		for i := range 30 {
			s.plain[i%3].Inject(workerserver.Extra)
			id := fmt.Sprint("own-", i)
			resp, body := attempt{path: "/look/1", id: id, key: "k1"}.send(0)
			Expect(resp.StatusCode).To(Equal(200))
			Expect(body).To(Equal(workerserver.Body(id)))
		}
	})

	// Guards against missing or duplicated events when an engine fails in the middle of an event
	// and the stream continues at another engine.
	It("resumes a broken stream at another engine without a gap", func() {
		for _, w := range s.engines {
			w.Inject(workerserver.Cut)
		}
		resp, body := attempt{path: "/ask/1", id: "resume", key: "k1", tokens: 900}.send(0)
		for _, w := range s.engines {
			w.ClearFaults()
		}
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(completeStream("resume")))
		Expect(runs(s.engines, "resume")).To(Equal(2))
	})

	// Guards against a truncated answer that looks complete because the error answer of the
	// engine that was to resume the stream was appended to it.
	It("aborts a stream if the engine that is to resume it fails", func() {
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
			req, err := http.NewRequest(http.MethodPost, "http://"+platformAddr(100)+"/ask/1", strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			req.Host = "h.example"
			id := fmt.Sprint("half-", time.Now().UnixNano())
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("Authorization", "Bearer k1")
			req.Header.Set("X-Token-Counts", "900,100")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			// The first half has been sent; every engine that is to resume the stream fails.
			for _, w := range s.engines {
				w.ClearFaults()
				w.Inject(workerserver.Failed)
			}
			raw, err := io.ReadAll(resp.Body)
			if err == nil {
				return string(raw)
			}
			Expect(completeStream(id)).To(HavePrefix(string(raw)))
			return "broken off"
		}
		Expect(outcome()).To(Equal("broken off"))
	})

	It("prefills a prompt larger than one engine on two engines and releases the memory", func() {
		resp, body := attempt{path: "/ask/1", id: "large", key: "k1", tokens: 150_000}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(completeStream("large")))
		hasHelpers := false
		for _, w := range s.engines {
			for _, v := range w.Seen() {
				hasHelpers = hasHelpers || v.ID == "large" && strings.Contains(v.Helpers, "/large-")
			}
		}
		Expect(hasHelpers).To(BeTrue())
		for _, w := range s.engines {
			Eventually(w.Reserved, "5s", "20ms").Should(BeZero())
			Expect(w.DoubleUse()).To(BeZero())
		}
	})

	// Guards against clients that name helpers of their choice: the ID of their request stands in the list of helpers.
	It("names the engines that it chose, whatever the ID of the request", func() {
		id := "odd,127.0.0.1:1/x y"
		resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(completeStream(id)))
		for _, w := range s.engines {
			for _, v := range w.Seen() {
				if v.ID == id {
					Expect(strings.Split(v.Helpers, ",")).To(HaveEach(MatchRegexp(`^127\.0\.0\.1:\d{4,5}(/[^/,\s]+)?$`)))
				}
			}
			Eventually(w.Reserved, "5s", "20ms").Should(BeZero())
		}
	})

	// Guards against leaked reservations, which let an engine serve fewer and fewer long prompts:
	// a reserve order that got no reply is executed after its request has ended, or the release
	// order is lost.
	DescribeTable("leaks no engine memory if orders are", func(reserve []workerserver.OrderFault) {
		for _, e := range s.engines {
			e.InjectOrder(reserve...)
		}
		id := "orders-" + string(reserve[0])
		resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000}.send(0)
		if resp.StatusCode == 200 {
			Expect(body).To(Equal(completeStream(id)))
		} else {
			Expect(resp.StatusCode).To(BeElementOf(429, 503))
			Expect(runs(s.engines, id)).To(BeZero())
		}
		// Late orders are executed within a second.
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

	// Guards against engines that work for disconnected clients while other requests wait.
	It("cancels the request of a client that disconnects", func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+platformAddr(100)+"/ask/1", strings.NewReader("x"))
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

	// Guards against requests that are sent to a draining server and cut off when it exits.
	It("sends nothing to a draining server", func() {
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

	// Guards against a revoked key that still works, and a new key that fails, at instances
	// whose store requests are rejected or that restart.
	It("applies a configuration at every instance and never an older one", func() {
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

	It("serves while the store is down", func() {
		s.store.SetFaults(storeserver.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			resp, _ := attempt{path: "/look/1", id: fmt.Sprint("down-", i), key: "k1"}.send(i)
			Expect(resp.StatusCode).To(Equal(200))
		}
		s.store.SetFaults(storeserver.Faults{})
	})

	// Guards against requests that are refused while most servers are ready: the store is down,
	// some servers drain, and each instance learns of each of them only through refused requests
	// of its own callers.
	It("avoids a server at all instances after it refused a request of one of them", func() {
		leaving := s.startServer("a0", "registry", workerserver.Config{DefaultFault: workerserver.Shed})
		defer leaving.Close()
		defer s.store.Delete("servers", "a0")
		sendTo := func(entry, n int) {
			resp, _ := attempt{path: "/look/1", id: fmt.Sprintf("away-%d-%d", entry, n), key: "k1"}.send(entry)
			Expect(resp.StatusCode).To(Equal(200))
		}
		var lastRefused time.Time
		sent := 0
		Eventually(func() int {
			sent++
			lastRefused = time.Now()
			sendTo(0, sent)
			return len(leaving.Seen())
		}, "5s", "20ms").Should(Equal(1))
		for i := 1; i < 3; i++ {
			Eventually(func() string { return call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body }, "1s", "5ms").
				Should(MatchRegexp(`"passed_over":\s*\[\s*"a0"`))
			for n := range 4 {
				sendTo(i, n)
			}
		}
		maxRetries := 3 * int(time.Since(lastRefused)/(1500*time.Millisecond))
		Expect(len(leaving.Seen())).To(BeNumerically("<=", 1+maxRetries))
	})

	// Guards against instances that refuse all requests because another tool stored an entry
	// among those of the servers that they cannot decode.
	It("serves despite undecodable entries, through an outage and a restart", func() {
		putUndecodable := func(kind, name string) { Expect(s.store.Put(kind, name, []any{"not", "ours"})).To(Succeed()) }
		checkServes := func(step string) {
			for i := range 3 {
				resp, _ := attempt{path: "/look/1", id: fmt.Sprint("other-", step, i, time.Now().UnixNano()), key: "k1"}.send(i)
				Expect(resp.StatusCode).To(Equal(200), "%s at instance %d", step, i)
			}
		}
		for i := range 5 {
			putUndecodable("servers", fmt.Sprint("a-tool-", i))
			putUndecodable("auburnmoor-entries", fmt.Sprint("a-tool-", i))
		}
		checkServes("new entries")
		s.store.SetFaults(storeserver.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		checkServes("outage")
		s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
		s.signal("entry-2", syscall.SIGTERM)
		s.wait("entry-2")
		s.startEntry(2)
		Eventually(func() int { return call("GET", "http://"+platformAddr(302)+"/readiness", "").status }, "15s", "50ms").Should(Equal(200))
		checkServes("restart")
		// Changes are still applied; of idle servers, the first by name is used.
		fresh := s.startServer("a9", "registry", workerserver.Config{})
		Eventually(func() int {
			checkServes("new server")
			return len(fresh.Seen())
		}, "5s", "50ms").Should(BeNumerically(">", 0))
		s.store.Delete("servers", "a9")
		DeferCleanup(fresh.Close)
		for i := range 5 {
			s.store.Delete("servers", fmt.Sprint("a-tool-", i))
			s.store.Delete("auburnmoor-entries", fmt.Sprint("a-tool-", i))
		}
	})

	It("uses a server again after its entry was undecodable, and after a restart under the same ID", func() {
		receives := func(n int) func() bool {
			return func() bool {
				before := len(s.plain[n].Seen())
				for i := range 6 {
					_, _ = attempt{path: "/look/1", id: fmt.Sprint("again-", time.Now().UnixNano(), i), key: "k1"}.send(i % 3)
				}
				return len(s.plain[n].Seen()) > before
			}
		}
		Expect(s.store.Put("servers", "p1", map[string]any{"state": 7})).To(Succeed())
		Eventually(receives(1), "3s", "50ms").Should(BeFalse())
		s.announce("p1", "registry", s.plain[1].Addr(), "ready")
		Eventually(receives(1), "3s", "50ms").Should(BeTrue())
		putState := func(state string, born int) {
			Expect(s.store.Put("servers", "p0", map[string]any{
				"service": "registry", "address": s.plain[0].Addr(), "zone": "dc-0", "slots": 4, "state": state, "born": born,
			})).To(Succeed())
		}
		putState("draining", 1000)
		Eventually(receives(0), "3s", "50ms").Should(BeFalse())
		putState("ready", 1000)
		Consistently(receives(0), "1s", "50ms").Should(BeFalse())
		putState("ready", 2000)
		Eventually(receives(0), "3s", "50ms").Should(BeTrue())
	})

	// Guards against long prompts that wait although the engines are idle, because all instances
	// still count the load of a request that has ended.
	It("counts no load when no request is in progress", func() {
		for i := range 3 {
			Eventually(func() map[string]any {
				var d struct {
					Loads struct {
						Totals map[string]any `json:"totals"`
					} `json:"control.loads"`
				}
				Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body), &d)).To(Succeed())
				Expect(d.Loads.Totals).NotTo(BeNil())
				return d.Loads.Totals
			}, "10s", "50ms").Should(BeEmpty())
		}
	})

	It("keeps serving after SIGHUP", func() {
		s.signal("entry-2", syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
		resp, _ := attempt{path: "/look/1", id: "hup", key: "k1"}.send(2)
		Expect(resp.StatusCode).To(Equal(200))
	})

	// Guards against answers that are cut off by a rolling restart.
	It("completes its requests after SIGTERM", func() {
		type outcome struct{ body string }
		done := make(chan outcome, 1)
		go func() {
			defer GinkgoRecover()
			_, body := attempt{path: "/ask/1", id: "last", key: "k1", tokens: 900}.send(2)
			done <- outcome{body}
		}()
		Eventually(func() int { return runs(s.engines, "last") }, "3s", "5ms").Should(Equal(1))
		s.signal("entry-2", syscall.SIGTERM)
		Expect((<-done).body).To(Equal(completeStream("last")))
		Eventually(func() string { return call("GET", "http://"+platformAddr(200)+"/resolve?name=h&zone=dc-1", "").body }, "3s", "50ms").
			ShouldNot(ContainSubstring(platformAddr(102)))
		s.wait("entry-2")
		var body struct {
			Items []json.RawMessage `json:"items"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(1)+"/objects/auburnmoor-entries", "").body), &body)).To(Succeed())
		Expect(body.Items).To(HaveLen(2))
	})

	// Guards against an answer that is cut off by a restart because the instance accepted the
	// request seconds after SIGTERM and its drain timeout ended first.
	It("refuses requests that arrive long after SIGTERM", func() {
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

// Guards against an answer that its instance cuts off although its engine goes on: the engine
// was silent for longer than the timeout between events, and no retry was left in the budget.
var _ = Describe("a stream whose engine is slow", func() {
	It("is completed if the budget allows no retry", func() {
		slow := workerserver.Config{Events: 3, EventPause: 1500 * time.Millisecond, Memory: engineMemory}
		site := newPlatformSiteUsing("[serve.relay]\nretry_ratio = 0.000001\n", 2, slow)
		DeferCleanup(site.close)
		resp, body := attempt{path: "/ask/1", id: "slow", key: "k1", tokens: 400, body: "prompt"}.send(0)
		Expect(resp.StatusCode).To(Equal(200))
		for n := 1; n <= slow.Events; n++ {
			Expect(body).To(ContainSubstring(workerserver.Event("slow", n)))
		}
		Expect(runs(site.engines, "slow")).To(Equal(1))
	})
})
