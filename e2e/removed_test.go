package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// removalSite is a site of three data centres whose plain servers start and are taken away without
// saying so: their entries are removed, and they serve on.
type removalSite struct {
	*platformSite
	stop    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	servers map[string]*removableServer
}

// removableServer is a server that writes its remaining cold time with each heartbeat.
type removableServer struct {
	*workerserver.Server
	id      string
	coldEnd time.Time
	// removed is when the removal of its entry was acknowledged, zero before.
	removed time.Time
}

const (
	removalEntries = 9
	// removalHeartbeat is the interval at which servers write their entries.
	removalHeartbeat = 1200 * time.Millisecond
	removalColdTime  = 15 * time.Second
	// removalRounds rounds of removalStarted servers are played, of which removalTaken are taken away.
	removalRounds, removalStarted, removalTaken = 4, 6, 5
	// removalPause is the time between the start and the removal of a round, and after it.
	removalPause = 1500 * time.Millisecond
	// removalPerSecond is the number of requests per second to each instance.
	removalPerSecond = 12
	// removalStaying is the number of servers that are not taken away.
	removalStaying = 3
)

// newRemovalSite starts instances with the bounds that the platform states for small deployments.
func newRemovalSite() *removalSite {
	s := &removalSite{
		platformSite: &platformSite{fleet: buildFleet(), store: storeserver.New(platformAddr(1))},
		stop:         make(chan struct{}), servers: map[string]*removableServer{},
	}
	s.settings = firstStart + "[control.catalog]\nstable_after = \"3s\"\n"
	Expect(s.store.Start()).To(Succeed())
	for i := range removalStaying {
		s.startServer(fmt.Sprint("stays-", i), "registry", workerserver.Config{})
	}
	s.configure("k1")
	for i := range removalEntries {
		name := fmt.Sprint("entry-", i)
		path := filepath.Join(s.dir, name+".toml")
		Expect(os.WriteFile(path, s.entrySettingsIn(i, i%3, "platform.client"), 0o600)).To(Succeed())
		s.start(name, "serve", "--config", path)
	}
	for i := range removalEntries {
		Eventually(func() string { return call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body }, "20s", "50ms").
			Should(MatchRegexp(`"config_state":\s*"confirmed"`))
	}
	return s
}

// startRemovable starts a server that is cold for a while.
func (s *removalSite) startRemovable(id string) *removableServer {
	w := workerserver.New(workerserver.Config{ID: id, Addr: "127.0.0.1:0"})
	Expect(w.Start()).To(Succeed())
	v := &removableServer{Server: w, id: id, coldEnd: time.Now().Add(removalColdTime)}
	s.mu.Lock()
	s.servers[id] = v
	s.mu.Unlock()
	s.beat(v)
	s.clients.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(removalHeartbeat):
				s.beat(v)
			}
		}
	})
	return v
}

// beat writes the entry of a server that was not removed.
func (s *removalSite) beat(v *removableServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !v.removed.IsZero() {
		return
	}
	cold := max(0, time.Until(v.coldEnd))
	e := storeserver.Entry{ID: v.id, Service: "registry", Addr: v.Addr(), DataCentre: "dc-0", Slots: 4, Cold: &cold}
	if err := s.store.PutEntry(e); err != nil {
		panic(err)
	}
}

// remove removes the entry of a server a moment after a heartbeat.
func (s *removalSite) remove(v *removableServer, afterBeat time.Duration) {
	s.beat(v)
	time.Sleep(afterBeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.RemoveEntry(v.id)
	v.removed = time.Now()
}

// request sends requests to one instance until the end.
func (s *removalSite) request(entry int) {
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Second / removalPerSecond):
		}
		a := attempt{path: lookPath, id: fmt.Sprintf("removal-%d-%d", entry, i), key: "k1"}
		if resp, err := http.DefaultClient.Do(a.request(entry)); err == nil {
			readBody(resp)
		}
	}
}

// play starts servers and takes them away while clients send requests to all instances.
func (s *removalSite) play(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range removalEntries {
		s.clients.Go(func() {
			defer GinkgoRecover()
			s.request(i)
		})
	}
	for round := range removalRounds {
		var started []*removableServer
		for i := range removalStarted {
			started = append(started, s.startRemovable(fmt.Sprintf("leaves-%d-%d", round, i)))
			time.Sleep(time.Duration(r.Int64N(int64(removalHeartbeat / 2))))
		}
		time.Sleep(removalPause)
		var removals sync.WaitGroup
		for _, v := range started[:removalTaken] {
			after := 50*time.Millisecond + time.Duration(r.Int64N(int64(250*time.Millisecond)))
			removals.Go(func() { s.remove(v, after) })
			time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
		}
		removals.Wait()
		time.Sleep(removalPause)
	}
	time.Sleep(2 * drainTime)
	close(s.stop)
	s.clients.Wait()
}

// lateRequests counts the requests that reached servers later than drainTime after their removal, by
// server.
func (s *removalSite) lateRequests() map[string]int {
	out := map[string]int{}
	for _, v := range s.servers {
		for _, a := range v.Arrivals() {
			if !v.removed.IsZero() && a.At.Sub(v.removed) > drainTime {
				out[v.id]++
			}
		}
	}
	return out
}

// lastRequests returns for each removed server the time from its removal to the last request that reached it,
// sorted; zero if none did.
func (s *removalSite) lastRequests() (out []time.Duration) {
	for _, v := range s.servers {
		if v.removed.IsZero() {
			continue
		}
		last := time.Duration(0)
		for _, a := range v.Arrivals() {
			last = max(last, a.At.Sub(v.removed))
		}
		out = append(out, last)
	}
	slices.Sort(out)
	return out
}

// printLog prints the lines of all instances that name a server, and those on lists that differ.
func (s *removalSite) printLog(id string) {
	GinkgoWriter.Printf("%s was removed at %s\n", id, s.servers[id].removed.UTC().Format(time.RFC3339Nano))
	for i := range removalEntries {
		raw, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("entry-%d.log", i)))
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "backend server") && strings.Contains(line, strconv.Quote(id)) || strings.Contains(line, "differs from that") {
				GinkgoWriter.Print(line)
			}
		}
	}
}

var _ = Describe("a server whose entry is removed shortly after a heartbeat", func() {
	// Guards against requests to servers that have left: instances learn of the heartbeat after the removal.
	It("gets no request two seconds later", func() {
		s := newRemovalSite()
		DeferCleanup(func() {
			s.close()
			for _, v := range s.servers {
				v.Close()
			}
		})
		s.play(1)
		GinkgoWriter.Println("last requests after the removal:", s.lastRequests())
		late := s.lateRequests()
		for id := range late {
			s.printLog(id)
		}
		Expect(late).To(BeEmpty())
	})
})
