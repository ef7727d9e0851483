package poison_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/poison"
)

func key(n byte) poison.Key { return poison.Key{n} }

const (
	ms = time.Millisecond
	// fleetSize is the number of servers.
	fleetSize = 1000
)

// crash returns the crash of a server at a time, 100 ms after the request was sent to it.
func crash(server uint64, at time.Duration) poison.Crash {
	return poison.Crash{Server: server, Began: at - 100*ms, Ended: at}
}

// propagated returns a time by which all instances know of a crash at the given time.
func propagated(at time.Duration) time.Duration { return at + 200*ms }

var _ = Describe("requests that were running when servers crashed", func() {
	var t *poison.Table
	BeforeEach(func() { t = poison.NewTable() })
	// addCrashes records crashes of one request, each at its server's number in seconds.
	addCrashes := func(k poison.Key, servers ...uint64) (last time.Duration) {
		for _, s := range servers {
			last = time.Duration(s) * time.Second
			t.AddCrash(last, k, crash(s, last))
		}
		return last
	}

	// Guards against one request that crashes all engines one after the other: each client
	// attempt with it reached two engines, at any instance, and no instance kept a record.
	It("are not run again after three crashes", func() {
		last := addCrashes(key(1), 1, 2)
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Suspect))
		last = addCrashes(key(1), 3)
		r := t.Assess(propagated(last), key(1), fleetSize, nil)
		Expect(r.Verdict).To(Equal(poison.Poisonous))
		Expect(r.RetryAfter).To(BeNumerically("~", 2*time.Minute, time.Second))
		Expect(t.Assess(propagated(last), key(2), fleetSize, nil).Verdict).To(Equal(poison.Clean))
	})

	// Guards against refusing a harmless request that many callers send: a rack failed, and
	// the request was running on each of its servers.
	It("are not suspects if their servers crash at the same moment", func() {
		for s := range uint64(8) {
			t.AddCrash(time.Second, key(1), crash(s, time.Second+time.Duration(s)*ms))
		}
		Expect(t.Assess(propagated(time.Second), key(1), fleetSize, nil).Verdict).To(Equal(poison.Clean))
	})

	It("are cleared by an answer, also at instances that receive the report later", func() {
		last := addCrashes(key(1), 1, 2, 3)
		t.MarkFailed(key(1))
		other := poison.NewTable()
		for _, r := range t.All() {
			other.Merge(last, r)
		}
		old := t.All()
		t.MarkAnswered(last, key(1))
		for _, r := range append(t.All(), old...) {
			other.Merge(last, r)
		}
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Clean))
		Expect(other.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Clean))
	})

	// Guards against refusing the requests that ran next to the cause of three crashes.
	It("are not suspects because of crashes that another request explains", func() {
		addCrashes(key(1), 1, 2, 3)
		last := addCrashes(key(9), 1, 2, 3, 4)
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Clean))
		Expect(t.Assess(propagated(last), key(9), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
	})

	It("are run again while either of two may be the cause, up to a maximum of crashes", func() {
		addCrashes(key(1), 1, 2, 3)
		last := addCrashes(key(9), 1, 2, 3)
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Suspect))
		Expect(t.Assess(propagated(last), key(9), fleetSize, nil).Verdict).To(Equal(poison.Suspect))
		addCrashes(key(1), 4, 5, 6)
		last = addCrashes(key(9), 4, 5, 6)
		Expect(t.Assess(propagated(last), key(9), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
	})

	// Both requests crash servers.
	It("are both refused when each has a crash without the other", func() {
		addCrashes(key(1), 1, 2, 4)
		last := addCrashes(key(9), 1, 2, 5)
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
		Expect(t.Assess(propagated(last), key(9), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
	})

	It("wait until reports of other instances have arrived", func() {
		last := addCrashes(key(1), 1, 2, 3)
		r := t.Assess(last, key(1), fleetSize, nil)
		Expect(r.Verdict).To(Equal(poison.Suspect))
		Expect(r.Wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 100*ms)))
		Expect(t.Assess(last+r.Wait, key(1), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
	})

	It("may be run again after their quarantine, which grows with each crash", func() {
		last := addCrashes(key(1), 1, 2, 3)
		again := last + 2*time.Minute
		Expect(t.Assess(again, key(1), fleetSize, nil).Verdict).To(Equal(poison.Suspect))
		t.AddCrash(again, key(1), crash(7, again))
		r := t.Assess(propagated(again), key(1), fleetSize, nil)
		Expect(r.Verdict).To(Equal(poison.Poisonous))
		Expect(r.RetryAfter).To(BeNumerically(">", 19*time.Minute))
	})

	It("expire", func() {
		addCrashes(key(1), 1)
		addCrashes(key(2), 1, 2, 3)
		t.Expire(10 * time.Minute)
		Expect(t.Len()).To(Equal(1))
		t.Expire(time.Hour)
		Expect(t.Len()).To(BeZero())
	})

	// A request that the second server answers is not reported to other instances.
	It("are reported to others only after a failure or a second crash", func() {
		addCrashes(key(1), 1)
		Expect(t.TakeChanged().Records).To(BeEmpty())
		t.MarkAnswered(2*time.Second, key(1))
		Expect(t.Len()).To(BeZero())
		addCrashes(key(2), 1)
		t.MarkFailed(key(2))
		Expect(t.TakeChanged().Records).To(HaveLen(1))
		Expect(t.TakeChanged().Records).To(BeEmpty())
		addCrashes(key(3), 1, 2)
		Expect(t.TakeChanged().Records).To(HaveLen(1))
	})

	// Guards against a customer that evicts a poisonous request from the table by sending
	// ever new bodies.
	It("are evicted by their number of crashes when there are too many", func() {
		last := addCrashes(key(1), 1, 2, 3)
		for n := range 2000 {
			at := last + time.Second + time.Duration(n)*ms
			k := poison.Identity{Body: fmt.Append(nil, n)}.Key()
			t.AddCrash(at, k, crash(uint64(n), at))
		}
		Expect(t.Len()).To(BeNumerically("<=", 512))
		Expect(t.Assess(last+4*time.Second, key(1), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
	})

	// Guards against refusing requests that met three exits of servers by chance: servers
	// restarted in turn, and the requests ran for seconds.
	It("need more crashes the more servers exit without running them", func() {
		const smallFleet = 20
		for n := range uint64(30) {
			t.MergeExit(0, poison.ServerExit{Server: 100 + n, At: time.Duration(n) * 300 * ms})
		}
		last := addCrashes(key(1), 6, 7, 8)
		Expect(t.Assess(propagated(last), key(1), smallFleet, nil).Verdict).To(Equal(poison.Suspect))
		Expect(t.Assess(propagated(last), key(1), fleetSize, nil).Verdict).To(Equal(poison.Poisonous))
		last = addCrashes(key(1), 9, 10, 11)
		Expect(t.Assess(propagated(last), key(1), smallFleet, nil).Verdict).To(Equal(poison.Poisonous))
		for n := range uint64(30) {
			t.MergeExit(last, poison.ServerExit{Server: 200 + n, At: last + time.Second})
		}
		Expect(t.Assess(last+2*time.Second, key(1), smallFleet, nil).Verdict).To(Equal(poison.Poisonous), "later exits reverse the assessment")
	})

	It("are not suspects if other servers exit at the same moment", func() {
		for s := range uint64(3) {
			at := time.Duration(s+1) * time.Second
			t.MergeExit(at, poison.ServerExit{Server: 100 + s, At: at + ms})
			t.MergeExit(at, poison.ServerExit{Server: 200 + s, At: at - ms})
			t.AddCrash(at, key(1), crash(s, at))
		}
		Expect(t.Assess(propagated(3*time.Second), key(1), fleetSize, nil).Verdict).To(Equal(poison.Clean))
	})

	// Instances must assess alike whatever the order of the reports and their duplicates.
	It("are assessed alike whatever the order of the reports", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			var reports []poison.Record
			for i := range rapid.IntRange(1, 8).Draw(rt, "news") {
				r := poison.Record{Key: key(byte(rapid.IntRange(1, 3).Draw(rt, "key"))), Round: uint32(rapid.IntRange(0, 1).Draw(rt, "round"))}
				for range rapid.IntRange(0, 3).Draw(rt, "crashes") {
					s := uint64(rapid.IntRange(1, 5).Draw(rt, "server"))
					r.Crashes = append(r.Crashes, crash(s, time.Duration(s)*2*time.Second))
				}
				r.Changed = time.Duration(10+i) * time.Second
				reports = append(reports, r)
			}
			a, b := poison.NewTable(), poison.NewTable()
			now := 20 * time.Second
			for _, r := range reports {
				a.Merge(now, r)
			}
			for _, i := range rapid.Permutation(indices(len(reports))).Draw(rt, "order") {
				b.Merge(now, reports[i])
				b.Merge(now, reports[i])
			}
			if a.Digest(now) != b.Digest(now) {
				rt.Fatal("digests differ")
			}
			for k := range byte(3) {
				if a.Assess(now, key(k+1), fleetSize, nil) != b.Assess(now, key(k+1), fleetSize, nil) {
					rt.Fatal("assessments differ")
				}
			}
		})
	})
})

func indices(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}
