// Package loads shares between the instances of a cell what work each has placed on
// the backend servers, so that every instance can place requests by itself.
package loads

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.loads"

func init() { auburnmoor.Register(new(Loads)) }

// Times of the reports.
const (
	// gatherFor is how long changes are gathered into one report. Two instances
	// that place a request within it do not see each other's.
	gatherFor = 2 * time.Millisecond
	// repeatWithin is how long after a report the next one repeats it. A prompt's reports
	// name the same servers, and the complete report repairs what was lost before.
	repeatWithin = 50 * time.Millisecond
	// completeEvery bounds how long a lost report leaves others with a wrong figure. It is
	// also the sign of life to mates: two in a row may be lost, with nothing else sent
	// between them, before a mate is given up after 2.2 s of silence.
	completeEvery = 700 * time.Millisecond
	// greetEvery is the pause between signs of life to the other cells, in complete reports.
	// They give a member up after 5 s, or on the word of its mates.
	greetEvery = 3
	// silentAfter is how long the last report of a peer is believed: two complete reports in
	// a row may be lost.
	silentAfter = 2500 * time.Millisecond
	// blindFor bounds how long a new instance waits to hear from its peers.
	blindFor = 3 * time.Second
)

// seedOfAway tells the random numbers of the pauses from others of this instance.
const seedOfAway = 5

// Loads is the module "control.loads".
type Loads struct {
	log     *zap.Logger
	link    *peerlink.Link
	members *members.Members
	catalog *follow.Follower

	now   func() time.Duration
	scope tally.Scope
	dirty chan struct{}

	mu     sync.Mutex
	ledger *spread.Ledger
	queue  *spread.Queue
	away   *away.Table
	// last is the work that changed with the last report, at lastAt; reported is the number
	// of reports.
	last     map[spread.Key]spread.Work
	lastAt   time.Duration
	reported uint64
	// newest tells the newest report of each mate.
	newest map[string]reportID
	// heard are the mates that reported all of their work.
	heard map[string]bool
	cell  cell.Cell
	mates map[string]bool
}

// reportID orders the reports of one instance.
type reportID struct{ incarnation, sequence uint64 }

// ModuleInfo implements auburnmoor.Module.
func (*Loads) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID, follow.ID}, OnRequest: true,
		New: func() auburnmoor.Module { return new(Loads) },
	}
}

// Provision implements auburnmoor.Provisioner.
func (l *Loads) Provision(c *auburnmoor.Context) (err error) {
	if l.link, err = auburnmoor.Require[*peerlink.Link](c, peerlink.ID); err != nil {
		return err
	}
	if l.members, err = auburnmoor.Require[*members.Members](c, members.ID); err != nil {
		return err
	}
	if l.catalog, err = auburnmoor.Require[*follow.Follower](c, follow.ID); err != nil {
		return err
	}
	l.log, l.now, l.scope, l.ledger, l.queue = c.Log, c.Now, c.Scope, spread.NewLedger(), spread.NewQueue()
	l.away = away.NewTable(rand.New(rand.NewPCG(c.Seed, seedOfAway)).Float64)
	l.cell.Count = 1
	l.dirty, l.heard, l.newest = make(chan struct{}, 1), map[string]bool{}, map[string]reportID{}
	l.link.Handle(l.receive)
	l.members.OnView(l.divide)
	return nil
}

// Start implements auburnmoor.Starter.
func (l *Loads) Start(ctx context.Context) error {
	go l.run(ctx)
	return nil
}

// Place runs choose with the present loads and what all instances hold back, and
// notes what it placed, in one step, so that two requests of this instance never
// see the same room.
func (l *Loads) Place(choose func(load func(string) spread.Load, held *spread.Queue) (spread.Plan, spread.Verdict)) (spread.Plan, spread.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.ledger.Advance(now)
	p, v := choose(l.ledger.Total, l.queue)
	if v != spread.Placed {
		return p, v
	}
	for i, part := range p.Parts {
		p.Parts[i].Recorded = l.ledger.Place(now, part)
	}
	l.wake()
	return p, spread.Placed
}

// FirstEvent ends the reading of a placed prompt at all servers. Only now do the helpers
// stop counting it among the parts that they accept at once.
func (l *Loads) FirstEvent(p spread.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range p.Parts {
		l.ledger.EndPrefill(part.Server.ID, part.Recorded)
		l.ledger.Sub(part.Server.ID, part.Load.PrefillPhase())
	}
	l.wake()
}

// End ends what FirstEvent left of a placed request.
func (l *Loads) End(p spread.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range p.Parts {
		l.ledger.Sub(part.Server.ID, part.Load.DecodePhase())
	}
	l.wake()
}

// Hold notes that this instance holds a deep prompt back, Leave that it does so
// no longer.
func (l *Loads) Hold(t spread.Turn) {
	l.onQueue(func(q *spread.Queue) { q.Hold(t) })
}

// Leave ends what Hold noted.
func (l *Loads) Leave(request string) {
	l.onQueue(func(q *spread.Queue) { q.Release(request) })
}

// WaitForSlot adds n to the requests that wait here for a free slot.
func (l *Loads) WaitForSlot(n int) {
	l.onQueue(func(q *spread.Queue) { q.WaitForSlot(n) })
}

func (l *Loads) onQueue(change func(*spread.Queue)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Update(l.now(), change) {
		l.wake()
	}
}

// TurnedAway notes that a server turned work away though it should have had room, and has
// mates told. silent tells that the store has told nothing for a while.
func (l *Loads) TurnedAway(s backends.Server, silent bool) {
	l.mu.Lock()
	pause, fresh := l.away.RecordRejection(l.now(), away.KeyOf(s), silent)
	l.wake()
	l.mu.Unlock()
	if fresh {
		l.scope.Counter("servers_passed_over_total").Inc(1)
		l.log.Info("server turned work away, passed over", zap.String("server", s.ID), zap.Duration("for", pause), zap.Bool("store_silent", silent))
	}
}

// Present returns the servers that are not passed over because they turned work away, here
// or at a mate.
func (l *Loads) Present(servers []backends.Server) []backends.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away.Available(l.now(), servers)
}

// Of returns the work of all instances on a server.
func (l *Loads) Of(server string) spread.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Advance(l.now())
	return l.ledger.Total(server)
}

// Backlog returns the mean reading that servers have before them.
func (l *Loads) Backlog(servers []backends.Server) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Advance(l.now())
	return spread.Backlog(servers, l.ledger.Total)
}

// Blind reports whether this instance began too recently to know what others
// have placed. Instances that start together and each believe the servers to be
// empty all choose the same ones.
func (l *Loads) Blind() bool {
	if l.now() > blindFor {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.mates) == 0 {
		return true
	}
	for mate := range l.mates {
		if !l.heard[mate] {
			return true
		}
	}
	return false
}

func (l *Loads) wake() {
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

func (l *Loads) run(ctx context.Context) {
	complete := time.NewTicker(completeEvery)
	defer complete.Stop()
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-complete.C:
			l.divide(l.members.View())
			l.report(true)
			l.expire()
			if n++; n%greetEvery == 0 {
				l.greet()
			}
		case <-l.dirty:
			time.Sleep(gatherFor)
			l.report(false)
		}
	}
}

// expire drops what peers reported that went silent.
func (l *Loads) expire() {
	l.mu.Lock()
	silent := l.ledger.Expire(l.now() - silentAfter)
	l.mu.Unlock()
	for _, peer := range silent {
		l.log.Warn("reports of a peer's work stopped, its work is no longer counted", zap.String("peer", peer), zap.Duration("silent", silentAfter))
	}
}

func (l *Loads) report(complete bool) {
	l.mu.Lock()
	now := l.now()
	l.ledger.Advance(now)
	changed := l.ledger.TakeChanged(now)
	latest := changed
	if complete {
		changed = l.ledger.AllLocalWork(now)
	} else {
		changed = l.withLast(now, changed)
	}
	l.last, l.lastAt = latest, now
	l.reported++
	sequence := l.reported
	waiting := l.queue.TakeState(now)
	turnedAway := l.away.Observed(now)
	mates := l.cell.Peers
	l.mu.Unlock()
	msg := &peerpb.LoadReport{Complete: complete, Sequence: sequence, ForSlot: int32(waiting.ForSlot)}
	if waiting.HasFirst {
		msg.Held = heldPrompt(now, waiting.First)
	}
	encodeWork(msg, changed)
	encodeAway(msg, turnedAway)
	l.link.TellAll(mates, &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: msg}})
}

// withLast adds what the last report told, as it is now, if that was just now: a report may
// be lost, and while much changes the next one follows within milliseconds. l.mu is held.
func (l *Loads) withLast(now time.Duration, changed map[spread.Key]spread.Work) map[spread.Key]spread.Work {
	if now-l.lastAt > repeatWithin {
		return changed
	}
	out := maps.Clone(changed)
	if out == nil {
		out = map[spread.Key]spread.Work{}
	}
	for server := range l.last {
		out[server] = l.ledger.LocalWork(now, server)
	}
	return out
}

// greet sends a sign of life to the instances of other cells, by datagrams: no connection
// is needed for it.
func (l *Loads) greet() {
	l.mu.Lock()
	mates := l.mates
	l.mu.Unlock()
	distant := slices.DeleteFunc(slices.Clone(l.members.Peers()), func(peer string) bool { return mates[peer] })
	l.link.TellAll(distant, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}})
}

func (l *Loads) receive(from string, env *peerpb.Envelope) {
	r := env.GetLoadReport()
	if r == nil {
		return
	}
	work, ok := decodeWork(r)
	turnedAway, fits := decodeAway(r)
	if !ok || !fits {
		l.log.Warn("report of work cannot be read", zap.String("peer", from), zap.Int("servers", len(r.Servers)))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mates[from] {
		// Its list of members or servers is another one for the moment; what it places
		// here is not known while that lasts.
		return
	}
	id := reportID{env.Incarnation, r.Sequence}
	if last := l.newest[from]; last.incarnation == id.incarnation && id.sequence <= last.sequence && id.sequence > 0 {
		return
	}
	l.newest[from] = id
	l.ledger.ApplyReport(l.now(), from, r.Complete, work)
	l.queue.ApplyReport(l.now(), from, waitingOf(l.now(), r))
	for server, left := range turnedAway {
		l.away.ApplyReport(l.now(), server, left)
	}
	if r.Complete {
		l.heard[from] = true
	}
}

// heldPrompt tells of a prompt by how long it has waited, because instances have no
// common clock.
func heldPrompt(now time.Duration, t spread.Turn) *peerpb.HeldPrompt {
	return &peerpb.HeldPrompt{
		Request: t.Request, Weight: t.Weight, WaitedUs: (now - t.Arrived).Microseconds(),
		UsefulUs: t.FirstTarget.Microseconds(), LateAfterUs: t.LateAfter.Microseconds(),
	}
}

func waitingOf(now time.Duration, r *peerpb.LoadReport) spread.Waiting {
	w := spread.Waiting{ForSlot: int(r.ForSlot)}
	if h := r.Held; h != nil {
		w.First, w.HasFirst = spread.Turn{
			Request: h.Request, Weight: h.Weight, Arrived: now - peerpb.Micros(h.WaitedUs), FirstTarget: peerpb.Micros(h.UsefulUs), LateAfter: peerpb.Micros(h.LateAfterUs),
		}, true
	}
	return w
}

// divide finds this instance's cell among the live instances.
func (l *Loads) divide(v members.View) {
	var live []string
	for _, m := range v.Alive {
		live = append(live, m.Name)
	}
	next := cell.Of(l.link.Self(), live, l.fewestEngines())
	mates := make(map[string]bool, len(next.Peers))
	for _, m := range next.Peers {
		mates[m] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Count != l.cell.Count || next.Index != l.cell.Index {
		l.log.Info("cell changed", zap.Int("cell", next.Index), zap.Int("cells", next.Count), zap.Int("mates", len(mates)), zap.Int("instances", len(live)))
	}
	l.cell, l.mates = next, mates
	l.members.SetNeighbours(neighboursOf(l.link.Self(), next, live))
	l.ledger.RetainPeers(mates)
	l.queue.RetainPeers(mates)
	for peer := range l.heard {
		if !mates[peer] {
			delete(l.heard, peer)
			delete(l.newest, peer)
		}
	}
}

// neighboursOf are none in a fleet of one cell, where all gossip with all.
func neighboursOf(self string, c cell.Cell, live []string) member.Neighbours {
	if c.Count <= 1 {
		return member.Neighbours{}
	}
	return member.NeighboursOf(self, c.Peers, live)
}

// fewestEngines is the number of ready servers of the model service that has fewest, zero
// while nothing is known.
func (l *Loads) fewestEngines() int {
	table, servers := l.catalog.Table(), l.catalog.Servers()
	if table == nil || servers == nil {
		return 0
	}
	fewest := 0
	for _, s := range table.Services {
		n := len(servers.Ready(s.Name))
		if s.Engine != nil && (fewest == 0 || n < fewest) {
			fewest = n
		}
	}
	return fewest
}

// Cell returns this instance's cell.
func (l *Loads) Cell() cell.Cell {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cell
}

// Dump implements auburnmoor.Dumper.
func (l *Loads) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{Cell: l.cell.Index, Cells: l.cell.Count, Mates: l.cell.Peers, Totals: map[string]spread.Load{}, Own: map[string]spread.Load{}}
	l.ledger.Advance(l.now())
	list := l.catalog.Servers()
	if list == nil {
		return d
	}
	for _, s := range list.All() {
		note(d.Totals, s.ID, l.ledger.Total(s.ID))
		note(d.Own, s.ID, l.ledger.LocalLoad(s.ID))
		if l.away.PassedOver(l.now(), away.KeyOf(s)) {
			d.PassedOver = append(d.PassedOver, s.ID)
		}
	}
	return d
}

func note(loads map[string]spread.Load, server string, v spread.Load) {
	if v != (spread.Load{}) {
		loads[server] = v
	}
}

// Dump is this instance's cell and the work placed on the backend servers that are listed.
type Dump struct {
	Cell   int                    `json:"cell"`
	Cells  int                    `json:"cells"`
	Mates  []string               `json:"mates,omitempty"`
	Totals map[string]spread.Load `json:"totals"`
	Own    map[string]spread.Load `json:"own"`
	// PassedOver are the servers that turned work away, here or at a mate.
	PassedOver []string `json:"passed_over,omitempty"`
}
