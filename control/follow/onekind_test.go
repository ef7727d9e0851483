package follow_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Bounds from the acknowledgement of a change to its being in force, while the calls for another kind of
// object fail.
const (
	configInForce                   = time.Second
	serverOutOfUse, evacuatedWithin = 2 * time.Second, 2 * time.Second
)

// kindFault is how the calls for one kind fail.
type kindFault struct {
	name   string
	faults storeserver.KindFaults
}

var kindFaults = []kindFault{
	{"refused", storeserver.KindFaults{Status: http.StatusServiceUnavailable}},
	{"over the rate", storeserver.KindFaults{Status: http.StatusTooManyRequests}},
	{"failed", storeserver.KindFaults{Status: http.StatusInternalServerError}},
	{"silent", storeserver.KindFaults{Silent: true}},
	{"reset", storeserver.KindFaults{Reset: true}},
	{"cut short", storeserver.KindFaults{CutShort: true}},
	{"endless", storeserver.KindFaults{Endless: true}},
	{"garbled", storeserver.KindFaults{Garbled: true}},
}

// fallible is an instance that watches a store with everything that it can watch, alone.
type fallible struct {
	srv *storeserver.Server
	in  *follow.Follower
	// what names the calls that fail.
	what string
}

// calls returns the number of calls that the instance made for everything that it watches.
func (f *fallible) calls() int {
	return f.srv.Calls("servers") + f.srv.Calls("config") + f.srv.Calls("evacuations")
}

// startOne starts the instance of a number.
func startOne(i int, what string) fallible {
	srv := startStore()
	addr := fmt.Sprintf("127.0.0.1:%d", isolatedPort+i)
	return fallible{srv, startWith(srv.Addr(), fmt.Sprint("a", i), addr, addr, "stable_after = \"3s\"\nevacuations = true"), what}
}

func awaitWatching(all []fallible) {
	for _, i := range all {
		Eventually(i.in.Ready, "10s", "5ms").Should(BeTrue(), i.what)
		Eventually(watching, "10s", "5ms").WithArguments(i.in).Should(BeTrue(), i.what)
	}
}

// startFallible starts an instance for each way in which the calls for each of the given kinds fail, and has
// them fail for long enough that a loop which repeats them makes long pauses.
func startFallible(kinds ...string) (out []fallible) {
	for _, kind := range kinds {
		for _, f := range kindFaults {
			out = append(out, startOne(len(out), kind+" "+f.name))
		}
	}
	awaitWatching(out)
	for i, f := range out {
		f.srv.SetFaults(storeserver.Faults{Kinds: map[string]storeserver.KindFaults{kinds[i/len(kindFaults)]: kindFaults[i%len(kindFaults)].faults}})
	}
	time.Sleep(longPauses)
	return out
}

// longPauses is the time after which a loop whose calls fail makes long pauses.
const longPauses = 2 * time.Second

// changesInARow is the number of changes that are made while calls fail.
const changesInARow = 4

// inForce makes a change at all stores and returns what is not in force within a time at the instances.
func inForce(all []fallible, within time.Duration, change func(*storeserver.Server), done func(*fallible) bool) (late []string) {
	for _, f := range all {
		change(f.srv)
	}
	time.Sleep(within)
	for _, f := range all {
		if !done(&f) {
			late = append(late, f.what)
		}
	}
	return late
}

func readyServers(f *follow.Follower) int { return len(f.Servers().Ready("s")) }

var _ = Describe("while the calls for one kind of object fail", func() {
	// Guards against a configuration that is not in force because the calls for something else fail.
	It("a configuration is in force within a second", func() {
		all := startFallible("servers", "evacuations")
		for version := 10; version < 10+changesInARow; version++ {
			Expect(inForce(all, configInForce, func(srv *storeserver.Server) { putConfig(srv, version) },
				func(f *fallible) bool { return f.in.Table().Version == uint64(version) })).To(BeEmpty())
		}
	})

	// Guards against requests to a server that leaves because the calls for something else fail.
	It("a server that leaves is out of use within two seconds", func() {
		all := startFallible("config", "evacuations")
		for i := range changesInARow {
			Expect(inForce(all, serverOutOfUse, func(srv *storeserver.Server) { putServer(srv, fmt.Sprint("b", i), "ready") },
				func(f *fallible) bool { return readyServers(f.in) == 2 })).To(BeEmpty())
			Expect(inForce(all, serverOutOfUse, func(srv *storeserver.Server) { putServer(srv, fmt.Sprint("b", i), "draining") },
				func(f *fallible) bool { return readyServers(f.in) == 1 })).To(BeEmpty())
		}
	})

	// Guards against requests to an evacuated data centre because the calls for something else fail.
	It("an evacuation is in force within two seconds", func() {
		all := startFallible("config", "servers")
		Expect(inForce(all, evacuatedWithin, func(srv *storeserver.Server) {
			Expect(srv.Put("evacuations", "z", map[string]any{})).To(Succeed())
		}, func(f *fallible) bool { return readyServers(f.in) == 0 })).To(BeEmpty())
		Expect(inForce(all, evacuatedWithin, func(srv *storeserver.Server) { srv.Delete("evacuations", "z") },
			func(f *fallible) bool { return readyServers(f.in) == 1 })).To(BeEmpty())
	})
})
