package retry_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/retry"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

// The shared budget of the virtual fleets.
const (
	fleetWindow = 10 * time.Second
	fleetRatio  = 0.2
	fleetStep   = 20 * time.Millisecond
	fleetSeeds  = 20
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// discoverDelay is the time within which a new process discovers the others.
	discoverDelay = 800 * time.Millisecond
	// listed instances are in the store's list: every process knows that there are these.
	listed = 3
)

// virtualInstance is an instance of a virtual fleet. A new process knows nothing of the one
// before it.
type virtualInstance struct {
	up      bool
	started time.Duration
	side    int
	// seen are the other instances that this process has seen.
	seen     map[int]bool
	budget   *processBudget
	borrower *retry.Borrower
}

// virtualFleet plays the retries of one service at all instances.
type virtualFleet struct {
	rand      *rand.Rand
	extra     float64
	instances []*virtualInstance
	now       time.Duration
	requests  []time.Duration
	retries   []time.Duration
	// settled is when all have seen the last change of the fleet.
	settled time.Duration
}

func newVirtualFleet(seed uint64, size int, extra float64) *virtualFleet {
	f := &virtualFleet{rand: rand.New(rand.NewPCG(seed, 1)), extra: extra}
	for range size {
		f.add()
	}
	return f
}

func (f *virtualFleet) add() {
	in := &virtualInstance{}
	f.instances = append(f.instances, in)
	f.start(in)
}

func (f *virtualFleet) start(in *virtualInstance) {
	in.up, in.started, in.seen = true, f.now, map[int]bool{}
	in.budget, in.borrower = newProcessBudget(f.extra, f.rand), retry.NewBorrower(f.rand)
	f.settled = f.now + discoverDelay + fleetStep
}

// move puts instances of the given share on a side that draw names.
func (f *virtualFleet) move(share float64, draw func() int) {
	for _, in := range f.instances {
		if f.rand.Float64() < share {
			in.side = draw()
		}
	}
	f.settled = f.now + discoverDelay + fleetStep
}

// observe updates what each process sees of the others.
func (f *virtualFleet) observe() {
	if f.now > f.settled {
		return
	}
	for i, in := range f.instances {
		for j, other := range f.instances {
			if i == j || !in.up || !other.up || in.side != other.side {
				continue
			}
			if f.now-in.started >= discoverDelay && f.now-other.started >= discoverDelay {
				in.seen[j] = true
			}
		}
	}
}

// view is the fleet as a process knows it.
func (f *virtualFleet) view(i int) (v fleetView) {
	in := f.instances[i]
	v.names = append(v.names, fmt.Sprint("entry-", i))
	for j := range in.seen {
		v.names = append(v.names, fmt.Sprint("entry-", j))
	}
	for j := range listed {
		v.incomplete = v.incomplete || j != i && !in.seen[j]
	}
	return v
}

// play lets load requests a second arrive for d, of which the share failing needs a retry.
func (f *virtualFleet) play(d time.Duration, load, failing float64) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		f.observe()
		for range poisson(f.rand, load*fleetStep.Seconds()) {
			f.request(failing)
		}
	}
}

func (f *virtualFleet) request(failing float64) {
	f.requests = append(f.requests, f.now)
	i := f.rand.IntN(len(f.instances))
	in := f.instances[i]
	if !in.up {
		return
	}
	age := f.now - in.started
	in.budget.update(f.view(i))
	in.budget.request(age)
	if f.rand.Float64() < failing && (in.budget.take(age) || f.borrow(in, age)) {
		f.retries = append(f.retries, f.now)
	}
}

// borrow asks other instances for a retry that a process cannot make of its own part.
func (f *virtualFleet) borrow(in *virtualInstance, age time.Duration) bool {
	peers := slices.Sorted(maps.Keys(in.seen))
	lenders := in.borrower.Lenders(age, len(peers))
	for _, n := range lenders {
		lender := f.instances[peers[n]]
		if !lender.up || lender.side != in.side {
			continue
		}
		lender.budget.update(f.view(peers[n]))
		if lender.budget.take(f.now - lender.started) {
			return true
		}
	}
	if len(lenders) > 0 {
		in.borrower.RecordRefusal(age)
	}
	return false
}

// kill ends processes and starts them again after restartDelay, under full load.
func (f *virtualFleet) kill(share, load float64) {
	var killed []*virtualInstance
	for _, in := range f.instances {
		if f.rand.Float64() < share {
			in.up = false
			killed = append(killed, in)
		}
	}
	f.play(restartDelay, load, 1)
	for _, in := range killed {
		f.start(in)
	}
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for left := r.ExpFloat64(); left < mean; left += r.ExpFloat64() {
		n++
	}
	return n
}

// within counts the times from begin on in one window.
func within(times []time.Duration, begin time.Duration) (n int) {
	for _, t := range times {
		if t >= begin && t < begin+fleetWindow {
			n++
		}
	}
	return n
}

// worstExcess is the greatest number of retries in a window beyond what it allows.
func (f *virtualFleet) worstExcess() float64 {
	worst := -f.extra
	for _, begin := range f.retries {
		requests := max(within(f.requests, begin), within(f.requests, begin-fleetWindow), within(f.requests, begin-fleetWindow/2))
		worst = max(worst, float64(within(f.retries, begin))-fleetRatio*float64(requests)-f.extra)
	}
	return worst
}

var _ = Describe("the retry budget of a fleet", func() {
	// Guards against allowances that instances spend again, or spend for each other, because
	// they restarted, are cut off, joined or do not see the others.
	DescribeTable("is kept in every window whatever happens to its instances", func(size int, extra, load float64) {
		for seed := range uint64(fleetSeeds) {
			f := newVirtualFleet(seed+1, size, extra)
			f.play(3*fleetWindow/2, load, 0)
			for range 6 {
				switch f.rand.IntN(6) {
				case 0, 1:
					f.kill(1, load)
				case 2:
					f.kill(0.6, load)
				case 3:
					f.move(0.5, func() int { return 1 })
				case 4:
					f.move(1, func() int { return f.rand.IntN(size) })
				case 5:
					f.move(1, func() int { return 0 })
					f.add()
				}
				f.play(time.Duration(f.rand.IntN(3000))*time.Millisecond, load, 1)
			}
			Expect(f.worstExcess()).To(BeNumerically("<=", 0), "seed %d", seed+1)
		}
	},
		Entry("of 6", 6, 100.0, 60.0),
		Entry("of 9", 9, 106.0, 60.0),
		Entry("of 75", 75, 226.0, 150.0),
	)

	DescribeTable("is used if all requests need a retry", func(size int, extra, load float64, share float64) {
		f := newVirtualFleet(1, size, extra)
		f.play(3*fleetWindow/2, load, 0)
		requests, windows := len(f.requests), 3
		f.play(time.Duration(windows)*fleetWindow, load, 1)
		allowed := fleetRatio*float64(len(f.requests)-requests) + float64(windows)*extra
		Expect(float64(len(f.retries)) / allowed).To(BeNumerically(">=", share))
		Expect(f.worstExcess()).To(BeNumerically("<=", 0))
	},
		Entry("of 6", 6, 100.0, 60.0, 0.85),
		Entry("of 9", 9, 106.0, 60.0, 0.85),
		Entry("of 75", 75, 226.0, 150.0, 0.85),
		Entry("of 295", 295, 660.0, 400.0, 0.85),
		Entry("of 985", testkit.LargeFleet, 985, 1040.0, 175.0, 0.85),
	)
})
