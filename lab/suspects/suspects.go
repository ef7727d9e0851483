// Package suspects simulates poison requests, which crash the backend servers that run
// them, and prompts with deadly parts among ordinary requests in virtual time. Each instance
// has a table of decide/poison and one of decide/blame and exchanges records with its peers. A
// run counts the crashes and the ordinary requests that were refused by mistake.
package suspects

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/durable"
	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/vtime"
)

// Options configure a run.
type Options struct {
	Instances, Servers int
	Seed               uint64
	Duration           time.Duration
	// Rate is the number of ordinary requests per second and server.
	Rate float64
	// Poisons is the number of requests that crash servers; each is sent again
	// PoisonEvery after its last attempt ended.
	Poisons     int
	PoisonEvery time.Duration
	// CrashEvery is the mean time between crashes with other causes, each of which stops
	// CrashShare of the servers at once; zero disables them.
	CrashEvery time.Duration
	CrashShare float64
	// Loss is the fraction of messages between instances that are lost.
	Loss float64
	// RestartEvery is the mean time between restarts of instances; zero disables them.
	RestartEvery time.Duration
	// NoIsolation disables isolation: suspects share servers with other requests.
	NoIsolation bool
	// Prompts gives requests prompts of several parts.
	Prompts Prompts
	// CutEvery is the mean time between partitions of the instances into halves, each of which
	// lasts cutTime; zero disables them.
	CutEvery time.Duration
	// LoseAll are the times at which all instances are lost, with what they know, and start again.
	LoseAll []time.Duration
	// Releases are the times from which half of the servers are replaced by those of a new version, one
	// after the other.
	Releases []time.Duration
}

// Result holds the counts of a run.
type Result struct {
	// Ordinary counts the ordinary requests, Refused those of them refused as poisonous,
	// and Suspects those of them that became suspects through the crashes they were in.
	Ordinary, Refused, Suspects int
	// Crashes counts the crashes caused by poisonous requests, Late those that came more
	// than maxPropagation after the third crash of the same request.
	Crashes, Late int
	// PropagationTimes holds, for each request, the time from its third crash until all
	// instances classified it as poisonous.
	PropagationTimes []time.Duration
	// Messages and Bytes measure the traffic between instances that crashes cause.
	Messages, Bytes int
	// Parts holds the counts of the prompts with deadly parts.
	Parts PartResult
	// CollateralFailures counts the other runs that failed because a poisonous request
	// crashed their server.
	CollateralFailures int
}

// Add adds the counts of another run.
func (r *Result) Add(o Result) {
	r.Ordinary += o.Ordinary
	r.Refused += o.Refused
	r.Suspects += o.Suspects
	r.Crashes += o.Crashes
	r.Late += o.Late
	r.PropagationTimes = append(r.PropagationTimes, o.PropagationTimes...)
	r.Messages += o.Messages
	r.Bytes += o.Bytes
	r.CollateralFailures += o.CollateralFailures
	r.Parts.add(o.Parts)
}

// Parameters of the model.
const (
	// maxPropagation is the time within which all instances must know of the third crash.
	maxPropagation = 3 * time.Second
	// crashAfter is the time from the end of prefill to the crash, meanPrefill and
	// meanDecode are the mean times of the two phases, restartTime is the downtime of a
	// server.
	crashAfter  = 80 * time.Millisecond
	meanPrefill = 150 * time.Millisecond
	meanDecode  = 1200 * time.Millisecond
	restartTime = 1500 * time.Millisecond
	// linkDelay is the minimum latency of a message; gatherDelay and gossipInterval have
	// the values of the product.
	linkDelay      = time.Millisecond
	gatherDelay    = 10 * time.Millisecond
	gossipInterval = 400 * time.Millisecond
	gossipPeers    = 3
	// probeTime is how long it takes to probe whether a server refuses connections.
	probeTime = 2 * time.Millisecond
	// maxPlacements is the number of servers that one client attempt may be sent to,
	// attemptLimit the number of attempts of a client, and retryDelay the wait before the
	// next attempt, or before the next placement when no server is eligible.
	maxPlacements = 2
	attemptLimit  = 2
	retryDelay    = 50 * time.Millisecond
	// An encoded record takes about recordBytes, and crashBytes for each of its crashes;
	// a server exit takes exitBytes.
	recordBytes = 26
	crashBytes  = 21
	exitBytes   = 16
)

type instance struct {
	began        time.Duration
	table        *poison.Table
	parts        *blame.Table
	side         int
	disseminator *poison.Disseminator
	sendPending  bool
	checkPending bool
	// writer says when the instance writes the record, lost is set once it has ended.
	writer *durable.Writer
	lost   bool
}

type server struct {
	id        uint64
	downUntil time.Duration
	runs      map[*run]bool
	// isolated counts the suspects that run here; others are not placed beside them.
	isolated int
	// version is that of its software.
	version int
}

// request is a client request across all of its attempts.
type request struct {
	key          poison.Key
	poison       bool
	crashes      int
	thirdCrash   time.Duration
	attemptCount int
	suspect      bool
	prompt       prompt
}

// run is the state of one client attempt and its current placement.
type run struct {
	req        *request
	at         *instance
	srv        *server
	began      time.Duration
	placements int
	avoid      []*server
	isolated   bool
	sawCrash   bool
	// tries is the refused part that the request is the trial of, zero for none.
	tries blame.Key
	// triesAt is the version of the servers that it is the trial at, refusedAt those at which it is refused
	// or waits.
	triesAt   int
	refusedAt map[int]bool
	// probe is the permission to be the only run of the fleet with a suspected part.
	probe blame.Trial
	// firstEvent is when the server began to write, zero before.
	firstEvent time.Duration
}

type world struct {
	o         Options
	rand      *rand.Rand
	clock     vtime.Queue
	instances []*instance
	servers   []*server
	res       Result
	serial    uint64
	parts     partWorld
	// record is what the store holds, by the clock of the world.
	record blame.Durable
}

// Play simulates one fleet.
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
		w.every(gossipInterval, func() { w.sendDigests(w.instances[i]) })
	}
	if o.Rate > 0 {
		w.poisson(float64(time.Second)/(o.Rate*float64(o.Servers)), w.sendOrdinary)
	}
	if o.CrashEvery > 0 {
		w.poisson(float64(o.CrashEvery), w.crashWave)
	}
	if o.RestartEvery > 0 {
		w.poisson(float64(o.RestartEvery), func() { w.instances[w.rand.IntN(o.Instances)] = w.newInstance() })
	}
	w.startPrompts()
	for _, at := range o.LoseAll {
		w.after(at, w.loseAll)
	}
	for _, at := range o.Releases {
		w.after(at, w.release)
	}
	for range o.Poisons {
		r := w.newRequest(true)
		w.after(time.Duration(w.rand.Int64N(int64(time.Second))), func() { w.startAttempt(r) })
	}
	w.clock.RunUntil(o.Duration, vtime.Always)
	if w.parts.refused && len(w.res.Parts.Spread) == 0 {
		w.res.Parts.Undecided = 1
	}
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
	i := &instance{
		writer: durable.NewWriter(),
		began:  w.now(), table: poison.NewTable(), parts: blame.NewTable(blame.Options{Self: w.rand.Uint64(), Alone: w.o.Prompts.Alone}),
		disseminator: poison.NewDisseminator(rand.New(rand.NewPCG(w.o.Seed, w.rand.Uint64()))),
	}
	w.readRecord(i)
	return i
}

func (w *world) restart(s *server) {
	w.serial++
	s.id = w.serial
}

func (w *world) newRequest(poisonous bool) *request {
	w.serial++
	r := &request{poison: poisonous}
	binary.LittleEndian.PutUint64(r.key[:], w.serial)
	r.prompt.run.Request = blame.RequestKey(r.key[:])
	return r
}

// localTime converts a time to the instance's clock, which starts with the instance.
func (i *instance) localTime(now time.Duration) time.Duration { return now - i.began + time.Second }

func (w *world) randomInstance() *instance { return w.instances[w.rand.IntN(len(w.instances))] }

func (w *world) sendOrdinary() {
	r := w.newRequest(false)
	w.drawPrompt(r)
	if !r.prompt.deadly {
		w.res.Ordinary++
	}
	w.startAttempt(r)
}

// startAttempt begins a client attempt at a random instance.
func (w *world) startAttempt(r *request) {
	r.attemptCount++
	if r.attemptCount == 1 && !r.prompt.deadly && w.decidedBefore(r.prompt.sent) {
		r.prompt.counted = true
		w.res.Parts.Sound++
	}
	w.place(&run{req: r, at: w.randomInstance()})
}

// endAttempt ends a client attempt and schedules the next one, if any.
func (w *world) endAttempt(x *run, refused bool) {
	if x.sawCrash {
		x.at.table.MarkFailed(x.req.key)
		w.scheduleSend(x.at)
	}
	switch {
	case x.req.poison:
		w.after(w.o.PoisonEvery, func() { w.startAttempt(x.req) })
	case refused:
		w.countRefused(x)
	case x.req.attemptCount < attemptLimit:
		w.after(retryDelay, func() { w.startAttempt(x.req) })
	}
}

// place sends a request to a server, once the wait that its assessment asks for is over.
func (w *world) place(x *run) {
	i := x.at
	now := i.localTime(w.now())
	assessment := i.table.Assess(now, x.req.key, len(w.servers), func(e poison.ServerExit) bool {
		return i.parts.Explains(blame.Exit{Server: e.Server, At: e.At}, x.req.prompt.run)
	})
	pause, refused := w.assessParts(x)
	pause = max(pause, assessment.Wait)
	switch {
	case assessment.Verdict == poison.Poisonous || refused:
		w.endAttempt(x, true)
		return
	case pause > 0:
		w.after(pause, func() { w.place(x) })
		return
	}
	x.isolated = assessment.Verdict == poison.Suspect && !w.o.NoIsolation
	x.srv = w.chooseServer(x)
	if x.srv == nil {
		w.after(retryDelay, func() { w.place(x) })
		return
	}
	if x.isolated {
		x.srv.isolated++
	}
	w.runAt(x)
}

// runAt runs a request at its server.
func (w *world) runAt(x *run) {
	x.began, x.firstEvent = w.now(), 0
	x.srv.runs[x] = true
	w.countSend(x)
	srv, id := x.srv, x.srv.id
	alive := func() bool { return srv.runs[x] && srv.id == id && x.srv == srv }
	prefill := w.exp(meanPrefill)
	if x.req.poison {
		w.after(prefill+crashAfter, func() {
			if alive() {
				w.crashServer(x)
			}
		})
		return
	}
	w.after(prefill, func() {
		if alive() {
			x.firstEvent = w.now()
			w.beginWriting(x, alive)
		}
	})
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// chooseServer returns the less loaded of two random servers, or the least loaded of all
// for an isolated suspect.
func (w *world) chooseServer(x *run) *server {
	var free []*server
	for _, s := range w.servers {
		if w.now() >= s.downUntil && !x.refusedAt[s.version] && !slices.Contains(x.avoid, s) && s.isolated == 0 && (w.o.Prompts.Slots == 0 || len(s.runs) < w.o.Prompts.Slots) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return nil
	}
	if x.isolated {
		return slices.MinFunc(free, func(a, b *server) int { return len(a.runs) - len(b.runs) })
	}
	a, b := free[w.rand.IntN(len(free))], free[w.rand.IntN(len(free))]
	if len(b.runs) < len(a.runs) {
		return b
	}
	return a
}

func (w *world) removeRun(x *run) {
	delete(x.srv.runs, x)
	if x.isolated {
		x.srv.isolated--
	}
}

func (w *world) completeRun(x *run) {
	w.removeRun(x)
	x.at.table.MarkAnswered(x.at.localTime(w.now()), x.req.key)
	x.at.parts.Clear(x.at.localTime(x.firstEvent), x.features())
	w.countAnswered(x)
	w.scheduleSend(x.at)
}

func (w *world) crashServer(x *run) {
	r := x.req
	r.crashes++
	w.res.Crashes++
	if r.crashes == 3 {
		r.thirdCrash = w.now()
		w.awaitPropagation(r, w.now())
	}
	if r.crashes > 3 && w.now() > r.thirdCrash+maxPropagation {
		w.res.Late++
	}
	w.res.CollateralFailures += len(x.srv.runs) - 1
	w.stopServer(x.srv)
}

// stopServer stops a server and fails all of its runs.
func (w *world) stopServer(s *server) {
	ended := make([]*run, 0, len(s.runs))
	for x := range s.runs {
		ended = append(ended, x)
	}
	slices.SortFunc(ended, func(a, b *run) int { return slices.Compare(a.req.key[:], b.req.key[:]) })
	id := s.id
	w.restart(s)
	s.downUntil = w.now() + restartTime
	at := w.now()
	for _, x := range ended {
		w.removeRun(x)
		w.after(probeTime, func() { w.handleCrash(x, id, at) })
	}
}

// handleCrash records that a run failed with its server, and places it again if it may be.
func (w *world) handleCrash(x *run, id uint64, at time.Duration) {
	i := x.at
	i.table.AddCrash(i.localTime(w.now()), x.req.key, poison.Crash{Server: id, Began: i.localTime(x.began), Ended: i.localTime(at)})
	w.addCrashOfParts(x, id, at)
	i.parts.Return(x.probe)
	x.sawCrash, x.tries, x.probe = true, 0, blame.Trial{}
	if i.table.Assess(i.localTime(w.now()), x.req.key, len(w.servers), nil).Verdict != poison.Clean && !x.req.poison && !x.req.suspect {
		x.req.suspect = true
		w.res.Suspects++
	}
	w.scheduleSend(i)
	x.placements++
	x.avoid = append(x.avoid, x.srv)
	if x.placements < maxPlacements {
		w.place(x)
		return
	}
	w.endAttempt(x, false)
}

// crashWave stops CrashShare of the servers for a cause unrelated to requests.
func (w *world) crashWave() {
	n := max(1, int(w.o.CrashShare*float64(len(w.servers))))
	for _, i := range w.rand.Perm(len(w.servers))[:n] {
		if s := w.servers[i]; w.now() >= s.downUntil {
			w.stopServer(s)
		}
	}
}
