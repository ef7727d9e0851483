package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
	"github.com/auburnmoor/auburnmoor/decide/watch"
)

// The simulated fleet: instances in three data centres, the first of which has no access to the store.
const (
	fleetSize, fleetCentres = 68, 3
	lossShare               = 0.05
	coldRate                = 26
	coldTime                = 3 * time.Second
	// demand is the number of requests per second of each instance for each server.
	demand = 4
	// tick is the step of the simulation and the time that a message takes.
	tick = 10 * time.Millisecond
	// up is how long instances have run at the beginning, span how long the simulation lasts.
	up, span = time.Minute, 6 * time.Second
	// restarts is the number of instances that restart while servers are cold.
	restarts = 3
	// heartbeat is the interval at which servers state their cold time again.
	heartbeat = time.Second
)

// fleetMessage is a list of changes from the store, or statements that an instance repeats.
type fleetMessage struct {
	to       int
	at       position.Position
	changes  []backends.Change
	repeated []backends.ColdStatement
}

type fleetInstance struct {
	name     string
	standing watch.Standing
	store    bool
	set      *backends.Set
	snap     *backends.Snapshot
	limiter  *warmup.Limiter
	roster   member.Roster
	// offset is the time for which the instance had run at the beginning.
	offset time.Duration
	// restartAt is when it restarts, zero if it does not.
	restartAt time.Duration
	// repeatAt is when it next repeats statements, next when its next request to each server comes.
	repeatAt time.Duration
	next     []time.Duration
	// becameCold is set once it learned that servers became cold, until it repeats that.
	becameCold bool
}

type fleet struct {
	draw      *rand.Rand
	instances []*fleetInstance
	number    map[string]int
	servers   []backends.Server
	messages  []fleetMessage
	// sends are the times at which each server got requests.
	sends [][]time.Duration
	// informed is the share of the instances that know a second after the beginning that the
	// servers are cold, lateWarm the number that do not use them a second after the cold time.
	informed float64
	lateWarm int
}

// fleetMembers are the instances, standings their places among those of their data centres.
var fleetMembers, standings = func() (members []watch.Member, all []watch.Standing) {
	for i := range fleetSize {
		members = append(members, watch.Member{Name: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc-", i%fleetCentres)})
	}
	for _, m := range members {
		all = append(all, watch.StandingOf(m, members))
	}
	return members, all
}()

func newFleet(seed uint64) *fleet {
	f := &fleet{draw: rand.New(rand.NewPCG(seed, 5)), number: map[string]int{}}
	for i := range 2 {
		f.servers = append(f.servers, backends.Server{ID: fmt.Sprint("s", i, "-", seed), Service: "s", Life: backends.Life(1 + seed)})
	}
	f.sends = make([][]time.Duration, len(f.servers))
	for i, m := range fleetMembers {
		in := &fleetInstance{
			name: m.Name, standing: standings[i], store: i%fleetCentres > 0, set: backends.NewSet(), limiter: warmup.NewLimiter(),
			roster: member.Roster{Size: fleetSize, Rank: i}, offset: up + time.Duration(f.draw.Int64N(int64(time.Second))),
		}
		in.set.Replace(up, f.servers, position.Position{Revision: 1})
		in.snap = in.set.Snapshot()
		in.repeatAt = time.Duration(f.draw.Int64N(int64(backends.ColdRepeatInterval)))
		for range f.servers {
			in.next = append(in.next, f.pause())
		}
		if i < restarts {
			in.restartAt = tick + time.Duration(f.draw.Int64N(int64(coldTime/tick)))*tick
		}
		f.number[m.Name] = i
		f.instances = append(f.instances, in)
	}
	return f
}

// pause draws the time between two requests of an instance to a server.
func (f *fleet) pause() time.Duration {
	return time.Duration(f.draw.ExpFloat64() / demand * float64(time.Second))
}

// send queues a message for some instances; each is lost with lossShare.
func (f *fleet) send(to []string, m fleetMessage) {
	for _, name := range to {
		if f.draw.Float64() >= lossShare {
			m.to = f.number[name]
			f.messages = append(f.messages, m)
		}
	}
}

// apply has an instance adopt changes and forward them.
func (f *fleet) apply(now time.Duration, in *fleetInstance, m fleetMessage, to []string) {
	if !in.snap.At.Before(m.at) || !in.set.Apply(now+in.offset, m.changes, m.at) {
		return
	}
	f.publish(now, in)
	var changes []backends.Change
	for _, s := range f.forwarded(now, in) {
		changes = append(changes, backends.Change{ID: s.ID, Server: &s})
	}
	f.send(to, fleetMessage{at: m.at, changes: changes})
}

// forwarded returns the servers as an instance forwards them to others.
func (f *fleet) forwarded(now time.Duration, in *fleetInstance) (out []backends.Server) {
	for _, s := range f.servers {
		s.Cold = in.snap.ColdTime(now+in.offset, s.ID, coldTime)
		s.Cold.FromPeer = true
		out = append(out, s)
	}
	return out
}

// restart replaces an instance by one that has nothing but the list of another.
func (f *fleet) restart(now time.Duration, in *fleetInstance) {
	peer := f.instances[restarts+f.draw.IntN(fleetSize-restarts)]
	in.offset, in.set, in.limiter = -now, backends.NewSet(), warmup.NewLimiter()
	in.set.Replace(0, f.forwarded(now, peer), peer.snap.At)
	f.publish(now, in)
}

func (f *fleet) deliver(now time.Duration) {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		in := f.instances[m.to]
		if m.changes != nil {
			f.apply(now, in, m, in.standing.Children())
		} else if in.set.AdoptCold(now+in.offset, m.repeated) {
			f.publish(now, in)
		}
	}
}

// publish has an instance use what its set holds, and repeat at once that servers became cold.
func (f *fleet) publish(now time.Duration, in *fleetInstance) {
	before := f.knows(now, in)
	in.snap = in.set.Snapshot()
	if f.knows(now, in) && !before {
		in.repeatAt, in.becameCold = now, true
	}
}

// knows reports whether an instance takes the first server for cold.
func (f *fleet) knows(now time.Duration, in *fleetInstance) bool {
	return in.snap.ColdUntil(f.servers[0].ID, coldTime) > now+in.offset
}

// announce has the instances that watch the store read what the servers state.
func (f *fleet) announce(now time.Duration) {
	m := fleetMessage{at: position.Position{Revision: 2 + int64(now/heartbeat)}}
	for _, s := range f.servers {
		s.Cold = backends.ColdTime{Known: true, Remaining: max(0, coldTime-now)}
		m.changes = append(m.changes, backends.Change{ID: s.ID, Server: &s})
	}
	for _, in := range f.instances {
		if in.store && in.standing.Primary() {
			f.apply(now, in, m, in.standing.FirstTargets())
		}
	}
}

func (f *fleet) repeat(now time.Duration, in *fleetInstance) {
	if now < in.repeatAt {
		return
	}
	in.repeatAt += backends.ColdRepeatInterval
	peers := backends.ColdRepeatPeers
	if in.becameCold {
		in.becameCold, peers = false, backends.ColdChangePeers
	}
	statements := in.snap.ColdStatements(now+in.offset, func(string) bool { return true })
	if len(statements) == 0 {
		return
	}
	var to []string
	for range peers {
		to = append(to, f.instances[f.draw.IntN(fleetSize)].name)
	}
	f.send(to, fleetMessage{repeated: statements})
}

// request sends the requests of an instance that are due, and those to cold servers within its quota.
func (f *fleet) request(now time.Duration, in *fleetInstance) {
	for i, s := range f.servers {
		if now < in.next[i] {
			continue
		}
		in.next[i] = now + f.pause()
		local, key := now+in.offset, warmup.Server{ID: s.ID, Life: s.Life}
		if in.snap.ColdUntil(s.ID, coldTime) > local {
			send := in.limiter.Take(local, key, warmup.Quota(local, key, coldRate, in.roster))
			if send == nil {
				continue
			}
			in.limiter.Sent(local, send)
		}
		f.sends[i] = append(f.sends[i], now)
	}
}

// knowing counts the instances that take a server for cold.
func (f *fleet) knowing(now time.Duration) (n int) {
	for _, in := range f.instances {
		if f.knows(now, in) {
			n++
		}
	}
	return n
}

func (f *fleet) run() {
	for now := time.Duration(0); now < span; now += tick {
		f.deliver(now)
		if now%heartbeat == 0 {
			f.announce(now)
		}
		for _, in := range f.instances {
			if now > 0 && now == in.restartAt {
				f.restart(now, in)
			}
			f.repeat(now, in)
			f.request(now, in)
		}
		switch now {
		case time.Second - tick:
			// The next heartbeat has not been read yet.
			f.informed = float64(f.knowing(now)) / fleetSize
		case coldTime + time.Second:
			f.lateWarm = f.knowing(now)
		}
	}
}

// busiestSecond returns the most requests that a server got in a second that began while it was cold.
func (f *fleet) busiestSecond() (most int) {
	for _, at := range f.sends {
		end, _ := slices.BinarySearch(at, coldTime)
		for first, last := 0, 0; last < end; last++ {
			for at[last]-at[first] >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestFleetWithLosses guards against a cold server that is overrun by instances that missed the message
// that it became cold or that restart, and against servers that stay unused after they are warm.
func TestFleetWithLosses(t *testing.T) {
	const seeds, workers = 1000, 2
	var wait sync.WaitGroup
	var mu sync.Mutex
	informed, most, late := 0.0, 0, 0
	for w := range workers {
		wait.Go(func() {
			for seed := w; seed < seeds; seed += workers {
				f := newFleet(uint64(seed))
				f.run()
				mu.Lock()
				informed, most, late = informed+f.informed/seeds, max(most, f.busiestSecond()), max(late, f.lateWarm)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%.4f of the instances know after a second; at most %d requests in a second; %d instances warm late", informed, most, late)
	if informed < 0.99 {
		t.Errorf("only %.4f of the instances know after a second", informed)
	}
	if bound := coldRate*overshoot + slack; float64(most) > bound {
		t.Errorf("a cold server got %d requests in a second, above %g", most, bound)
	}
	if late > 0 {
		t.Errorf("%d instances do not use the server a second after its cold time", late)
	}
}
