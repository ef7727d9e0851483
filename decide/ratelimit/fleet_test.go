package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

// The virtual fleets.
const (
	fleetStep    = 20 * time.Millisecond
	fleetSeeds   = 20
	restartDelay = 500 * time.Millisecond
	// discoverDelay is the time within which a new process discovers the others, detectDelay
	// that after which one that is gone or cut off is out of sight.
	discoverDelay = 800 * time.Millisecond
	detectDelay   = 2200 * time.Millisecond
	viewInterval  = 200 * time.Millisecond
	// listed is the number of instances of which every process knows that there are these.
	listed = 3
	// unsettled is the time after a change in which views may change.
	unsettled = detectDelay + discoverDelay + viewInterval
	never     = time.Duration(-1)
)

// virtualInstance is an instance of a virtual fleet.
type virtualInstance struct {
	name    string
	up      bool
	started time.Duration
	side    int
	// seen is when each other instance was last in sight, never for those that were not.
	seen []time.Duration
	// inSight are those in sight, itself included.
	inSight []int
	granter *ratelimit.Granter
}

// virtualFleet plays the requests for one limited server at all instances. All have heard of the
// limit.
type virtualFleet struct {
	rand      *rand.Rand
	key       ratelimit.Key
	limit     ratelimit.Limit
	instances []*virtualInstance
	// byName are the positions of the instances.
	byName             map[string]int
	now, view, changed time.Duration
	permits            []time.Duration
}

func newVirtualFleet(seed uint64, size int, perSecond float64) *virtualFleet {
	f := &virtualFleet{rand: rand.New(rand.NewPCG(seed, 1)), key: ratelimit.KeyOf(fmt.Sprint("server-", seed), 1), limit: named(perSecond), byName: map[string]int{}}
	for i := range size {
		in := &virtualInstance{name: fmt.Sprint("entry-", i)}
		f.instances = append(f.instances, in)
		f.byName[in.name] = i
	}
	for _, in := range f.instances {
		f.start(in)
	}
	return f
}

func (f *virtualFleet) start(in *virtualInstance) {
	in.up, in.started, in.seen, in.inSight, in.granter = true, f.now, slices.Repeat([]time.Duration{never}, len(f.instances)), nil, ratelimit.NewGranter(in.name)
	f.changed = f.now
}

// change lets the instances see each other as they are, before something changes.
func (f *virtualFleet) change() {
	f.observe()
	f.changed = f.now
}

// observe updates the view of each instance.
func (f *virtualFleet) observe() {
	for i, in := range f.instances {
		if in.up {
			f.observeAt(i)
		}
	}
}

func (f *virtualFleet) observeAt(i int) {
	in := f.instances[i]
	inSight := make([]int, 0, len(f.instances))
	for j, other := range f.instances {
		connected := i != j && other.up && in.side == other.side
		if connected && f.now-in.started >= discoverDelay && f.now-other.started >= discoverDelay {
			in.seen[j] = f.now
		}
		if i == j || in.seen[j] != never && f.now-in.seen[j] < detectDelay {
			inSight = append(inSight, j)
		}
	}
	if !slices.Equal(inSight, in.inSight) {
		in.inSight = inSight
		in.granter.SetView(f.now-in.started, f.viewOf(inSight), []ratelimit.Key{f.key})
	}
	in.granter.SetFleet(f.now-in.started, f.known(i))
}

func (f *virtualFleet) viewOf(inSight []int) ratelimit.View {
	v := ratelimit.View{InSight: len(inSight)}
	for _, j := range inSight {
		v.Owners = append(v.Owners, f.instances[j].name)
	}
	return v
}

// known is what an instance knows of all; the first ones are in the store's list.
func (f *virtualFleet) known(i int) ratelimit.Fleet {
	fleet := ratelimit.Fleet{Size: 1}
	for j, at := range f.instances[i].seen {
		if at != never {
			fleet.Size++
		} else if j < listed && j != i {
			fleet.Incomplete = true
		}
	}
	return fleet
}

// play lets load requests a second arrive for d at instances that draw names.
func (f *virtualFleet) play(d time.Duration, load float64, draw func() int) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		if f.now >= f.view {
			if f.now-f.changed <= unsettled {
				f.observe()
			}
			f.view = f.now + viewInterval
		}
		for range int(load*fleetStep.Seconds()*2*f.rand.Float64() + f.rand.Float64()) {
			f.request(f.instances[draw()])
		}
	}
}

func (f *virtualFleet) request(in *virtualInstance) {
	if !in.up {
		return
	}
	owner := f.instances[f.byName[in.granter.Owner(f.key)]]
	if !owner.up || owner.side != in.side {
		return
	}
	now := f.now - owner.started
	owner.granter.SetTold(now, in.granter.Size())
	if owner.granter.Ask(now, f.key, f.limit, ratelimit.Request{}, 0).Granted {
		f.permits = append(f.permits, f.now)
	}
}

func (f *virtualFleet) anywhere() int { return f.rand.IntN(len(f.instances)) }

// kill ends the owner of the server, or instances of a share, and starts them again.
func (f *virtualFleet) kill(share float64, load float64) {
	f.change()
	owner := f.instances[0].granter.Owner(f.key)
	var killed []*virtualInstance
	for _, in := range f.instances {
		if in.name == owner || f.rand.Float64() < share {
			in.up = false
			killed = append(killed, in)
		}
	}
	f.play(restartDelay, load, f.anywhere)
	f.change()
	for _, in := range killed {
		f.start(in)
	}
}

func (f *virtualFleet) move(side func() int) {
	f.change()
	for _, in := range f.instances {
		in.side = side()
	}
}

var _ = Describe("the permits of a fleet", func() {
	// Guards against permits that two instances give out for the same part of a limit.
	DescribeTable("keep to the limit whatever happens to its instances", func(size int, perSecond float64) {
		for seed := range uint64(fleetSeeds) {
			f := newVirtualFleet(seed+1, size, perSecond)
			f.play(6*second, 0, f.anywhere)
			for range 8 {
				switch f.rand.IntN(5) {
				case 0:
					f.kill(0, 100)
				case 1:
					f.kill(f.rand.Float64(), 100)
				case 2:
					f.move(func() int { return f.rand.IntN(2) })
				case 3:
					f.move(f.anywhere)
				case 4:
					f.move(func() int { return 0 })
				}
				f.play(time.Duration(f.rand.IntN(5000))*time.Millisecond, 100, f.anywhere)
			}
			Expect(float64(busiest(f.permits))).To(BeNumerically("<=", 4*perSecond+limitSlack), "seed %d", seed+1)
		}
	},
		Entry("6 instances, 0.3 a second", 6, 0.3),
		Entry("6 instances, 5 a second", 6, 5.0),
		Entry("6 instances, 40 a second", 6, 40.0),
		Entry("75 instances, 1.6 a second", 75, 1.6),
		Entry("300 instances, 5 a second", testkit.LargeFleet, 300, 5.0),
		Entry("985 instances, 1.6 a second", testkit.LargeFleet, 985, 1.6),
		Entry("985 instances, 40 a second", testkit.LargeFleet, 985, 40.0),
	)

	DescribeTable("use the limit wherever requests arrive", func(size int, perSecond float64, single bool) {
		f := newVirtualFleet(1, size, perSecond)
		f.play(6*second, 0, f.anywhere)
		draw := f.anywhere
		if single {
			draw = func() int { return 3 }
		}
		begin := f.now
		f.play(40*second, 200, draw)
		Expect(float64(len(f.permits)) / (f.now - begin).Seconds()).To(BeNumerically(">=", 0.9*perSecond))
	},
		Entry("6 instances, 0.3 a second", 6, 0.3, false),
		Entry("6 instances, 1.6 a second, at one", 6, 1.6, true),
		Entry("75 instances, 5 a second", 75, 5.0, false),
		Entry("75 instances, 40 a second, at one", 75, 40.0, true),
		Entry("300 instances, 1.6 a second", 300, 1.6, false),
		Entry("985 instances, 1.6 a second", testkit.LargeFleet, 985, 1.6, false),
		Entry("985 instances, 40 a second, at one", testkit.LargeFleet, 985, 40.0, true),
	)
})
