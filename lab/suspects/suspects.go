// Package suspects plays requests that crash the servers that run them, among others that
// do not, in virtual time: with the tables of decide/poison at each instance, and the way
// in which they tell each other. It counts what the fleet loses, and who is refused
// without being the cause.
package suspects

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// Options size a run.
type Options struct {
	Instances, Servers int
	Seed               uint64
	Duration           time.Duration
	// Rate is the number of ordinary requests a second and server.
	Rate float64
	// Poisons are requests that crash servers; each is sent again PoisonEvery after its
	// last attempt was over.
	Poisons     int
	PoisonEvery time.Duration
	// CrashEvery is the mean time between other ends of servers, each of CrashShare of
	// them at once; zero has none.
	CrashEvery time.Duration
	CrashShare float64
	// Loss is the share of messages between instances that are lost.
	Loss float64
	// RestartEvery is the mean time between restarts of instances; zero has none.
	RestartEvery time.Duration
	// Together runs suspects beside others, as ordinary requests.
	Together bool
}

// Result is what a run counted.
type Result struct {
	// Ordinary requests, those of them refused as causes of crashes, and those that were
	// part of two crashes and more.
	Ordinary, Refused, Suspects int
	// Crashes are the servers that poisonous requests ended, Late those of them by a
	// request that had ended three servers more than window ago.
	Crashes, Late int
	// Known is the time from the third crash of a request until the last instance knew.
	Known []time.Duration
	// Messages and Bytes are what instances told each other because of crashes.
	Messages, Bytes int
	// Broken are attempts with ordinary requests that ended with a server that a poisonous
	// request ended.
	Broken int
}

// Add adds another run.
func (r *Result) Add(o Result) {
	r.Ordinary += o.Ordinary
	r.Refused += o.Refused
	r.Suspects += o.Suspects
	r.Crashes += o.Crashes
	r.Late += o.Late
	r.Known = append(r.Known, o.Known...)
	r.Messages += o.Messages
	r.Bytes += o.Bytes
	r.Broken += o.Broken
}

// Figures of the model.
const (
	// window is the time in which all instances must know of the third crash.
	window = 3 * time.Second
	// crashAfter is how long a poisonous request runs, readFor and runFor the means of
	// reading a prompt and of writing an answer.
	crashAfter = 80 * time.Millisecond
	readFor    = 150 * time.Millisecond
	runFor     = 1200 * time.Millisecond
	backAfter  = 1500 * time.Millisecond
	// linkDelay is what a message takes at least, gatherFor and gossipEvery are those of
	// the product.
	linkDelay   = time.Millisecond
	gatherFor   = 10 * time.Millisecond
	gossipEvery = 400 * time.Millisecond
	gossipPeers = 3
	// probeFor is the question whether a server refuses connections.
	probeFor = 2 * time.Millisecond
	// runsOfAttempt is how many servers one client attempt may be sent to, attempts how
	// often a client asks, and goAway how long it waits before it asks again.
	runsOfAttempt = 2
	attempts      = 2
	goAway        = 50 * time.Millisecond
	// A record has some recordBytes and crashBytes for each crash when it is sent, the end
	// of a server endBytes.
	recordBytes = 26
	crashBytes  = 21
	endBytes    = 16
)

type instance struct {
	began  time.Duration
	table  *poison.Table
	share  *poison.Disseminator
	queued bool
}

type server struct {
	id     uint64
	downTo time.Duration
	runs   map[*run]bool
	// apart counts the suspects that run here, away from others.
	apart int
}

// request is one request with all its attempts.
type request struct {
	key     poison.Key
	poison  bool
	crashes int
	third   time.Duration
	asked   int
	suspect bool
}

// run is a request at a server.
type run struct {
	req      *request
	at       *instance
	srv      *server
	began    time.Duration
	sent     int
	avoid    []*server
	apart    bool
	anyCrash bool
}

type world struct {
	o         Options
	rand      *rand.Rand
	clock     vtime.Queue
	instances []*instance
	servers   []*server
	res       Result
	serial    uint64
}

// Play runs one fleet.
func Play(o Options) Result {
	w := &world{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	for range o.Instances {
		w.instances = append(w.instances, w.newInstance())
	}
	for range o.Servers {
		w.servers = append(w.servers, &server{runs: map[*run]bool{}})
		w.restart(w.servers[len(w.servers)-1])
	}
	for i := range w.instances {
		w.every(gossipEvery, func() { w.gossip(w.instances[i]) })
	}
	if o.Rate > 0 {
		w.poisson(float64(time.Second)/(o.Rate*float64(o.Servers)), w.ordinary)
	}
	if o.CrashEvery > 0 {
		w.poisson(float64(o.CrashEvery), w.wave)
	}
	if o.RestartEvery > 0 {
		w.poisson(float64(o.RestartEvery), func() { w.instances[w.rand.IntN(o.Instances)] = w.newInstance() })
	}
	for range o.Poisons {
		r := w.newRequest(true)
		w.after(time.Duration(w.rand.Int64N(int64(time.Second))), func() { w.ask(r) })
	}
	w.clock.RunUntil(o.Duration, vtime.Always)
	return w.res
}

func (w *world) now() time.Duration { return w.clock.Now() }

func (w *world) after(d time.Duration, f func()) { w.clock.After(d, f) }

func (w *world) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		w.after(d, again)
	}
	w.after(time.Duration(w.rand.Int64N(int64(d))), again)
}

func (w *world) poisson(mean float64, f func()) {
	var again func()
	again = func() {
		f()
		w.after(time.Duration(w.rand.ExpFloat64()*mean), again)
	}
	w.after(time.Duration(w.rand.ExpFloat64()*mean), again)
}

func (w *world) newInstance() *instance {
	return &instance{
		began: w.now(), table: poison.NewTable(),
		share: poison.NewDisseminator(rand.New(rand.NewPCG(w.o.Seed, w.rand.Uint64()))),
	}
}

func (w *world) restart(s *server) {
	w.serial++
	s.id = w.serial
}

func (w *world) newRequest(poisonous bool) *request {
	w.serial++
	r := &request{poison: poisonous}
	binary.LittleEndian.PutUint64(r.key[:], w.serial)
	return r
}

// clock is the instance's own: each began at another time.
func (i *instance) clock(now time.Duration) time.Duration { return now - i.began + time.Second }

func (w *world) anyInstance() *instance { return w.instances[w.rand.IntN(len(w.instances))] }

func (w *world) ordinary() {
	r := w.newRequest(false)
	w.res.Ordinary++
	w.ask(r)
}

// ask is a client attempt at any instance.
func (w *world) ask(r *request) {
	r.asked++
	w.place(&run{req: r, at: w.anyInstance()})
}

// over ends a client attempt.
func (w *world) over(x *run, refused bool) {
	if x.anyCrash {
		x.at.table.MarkFailed(x.req.key)
		w.tell(x.at)
	}
	switch {
	case x.req.poison:
		w.after(w.o.PoisonEvery, func() { w.ask(x.req) })
	case refused:
		w.res.Refused++
	case x.req.asked < attempts:
		w.after(goAway, func() { w.ask(x.req) })
	}
}

// place sends a request to a server, once it may be.
func (w *world) place(x *run) {
	i := x.at
	ruling := i.table.Assess(i.clock(w.now()), x.req.key, len(w.servers))
	switch {
	case ruling.Verdict == poison.Poisonous:
		w.over(x, true)
		return
	case ruling.Wait > 0:
		w.after(ruling.Wait, func() { w.place(x) })
		return
	}
	x.apart = ruling.Verdict == poison.Suspect && !w.o.Together
	x.srv = w.choose(x)
	if x.srv == nil {
		w.after(goAway, func() { w.place(x) })
		return
	}
	if x.apart {
		x.srv.apart++
	}
	x.began = w.now()
	x.srv.runs[x] = true
	srv, id := x.srv, x.srv.id
	alive := func() bool { return srv.runs[x] && srv.id == id }
	if x.req.poison {
		w.after(w.exp(readFor)+crashAfter, func() {
			if alive() {
				w.crashOf(x)
			}
		})
		return
	}
	w.after(w.exp(readFor)+w.exp(runFor), func() {
		if alive() {
			w.answered(x)
		}
	})
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// choose takes the server with fewer requests of two drawn ones, or the one with fewest
// for a suspect.
func (w *world) choose(x *run) *server {
	var free []*server
	for _, s := range w.servers {
		if w.now() >= s.downTo && !slices.Contains(x.avoid, s) && s.apart == 0 {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return nil
	}
	if x.apart {
		return slices.MinFunc(free, func(a, b *server) int { return len(a.runs) - len(b.runs) })
	}
	a, b := free[w.rand.IntN(len(free))], free[w.rand.IntN(len(free))]
	if len(b.runs) < len(a.runs) {
		return b
	}
	return a
}

func (w *world) leave(x *run) {
	delete(x.srv.runs, x)
	if x.apart {
		x.srv.apart--
	}
}

func (w *world) answered(x *run) {
	w.leave(x)
	x.at.table.MarkAnswered(x.at.clock(w.now()), x.req.key)
	w.tell(x.at)
}

func (w *world) crashOf(x *run) {
	r := x.req
	r.crashes++
	w.res.Crashes++
	if r.crashes == 3 {
		r.third = w.now()
		w.awaitKnown(r, w.now())
	}
	if r.crashes > 3 && w.now() > r.third+window {
		w.res.Late++
	}
	w.res.Broken += len(x.srv.runs) - 1
	w.end(x.srv)
}

// end ends a server with all that it runs.
func (w *world) end(s *server) {
	ended := make([]*run, 0, len(s.runs))
	for x := range s.runs {
		ended = append(ended, x)
	}
	slices.SortFunc(ended, func(a, b *run) int { return slices.Compare(a.req.key[:], b.req.key[:]) })
	id := s.id
	w.restart(s)
	s.downTo = w.now() + backAfter
	at := w.now()
	for _, x := range ended {
		w.leave(x)
		w.after(probeFor, func() { w.broken(x, id, at) })
	}
}

// broken is the end of an attempt with its server.
func (w *world) broken(x *run, id uint64, at time.Duration) {
	i := x.at
	i.table.AddCrash(i.clock(w.now()), x.req.key, poison.Crash{Server: id, Began: i.clock(x.began), Ended: i.clock(at)})
	x.anyCrash = true
	if i.table.Assess(i.clock(w.now()), x.req.key, len(w.servers)).Verdict != poison.Clean && !x.req.poison && !x.req.suspect {
		x.req.suspect = true
		w.res.Suspects++
	}
	w.tell(i)
	x.sent++
	x.avoid = append(x.avoid, x.srv)
	if x.sent < runsOfAttempt {
		w.place(x)
		return
	}
	w.over(x, false)
}

// wave ends a share of the servers for a cause of their own.
func (w *world) wave() {
	n := max(1, int(w.o.CrashShare*float64(len(w.servers))))
	for _, i := range w.rand.Perm(len(w.servers))[:n] {
		if s := w.servers[i]; w.now() >= s.downTo {
			w.end(s)
		}
	}
}
