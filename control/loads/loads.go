// Package loads exchanges load reports between the instances of a cell: each reports the
// work that it has placed on backend servers, so that every instance can place requests alone.
package loads

import (
	"context"
	"maps"
	"math/rand/v2"
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
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/decide/fanout"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "control.loads"

func init() { auburnmoor.Register(new(Loads)) }

// Timing of load reports.
const (
	// batchDelay is how long changes are batched into one report. Two instances that place
	// requests within it do not see each other's placement.
	batchDelay = 2 * time.Millisecond
	// repeatWindow is the age up to which a report's changes are repeated by the next one.
	// Reports older than that are repaired by the next complete report if they were lost.
	repeatWindow = 50 * time.Millisecond
	// completeInterval is the interval of complete reports. It bounds how long a lost report
	// leaves cell peers with a wrong load. Complete reports are also the heartbeats of a
	// cell: a monitored peer is suspected after 2.2 s of silence, so two in a row may be lost
	// even if no other message arrives in between.
	completeInterval = 700 * time.Millisecond
	// idleInterval is the interval, in complete reports, in which an instance without work sends
	// one to all cell peers; the others go to its monitors only. Two in a row may be lost:
	// members that are not monitored are suspected after 5 s.
	idleInterval = 2
	// peerTimeout is how long a peer's last report stays valid: two complete reports in a
	// row may be lost.
	peerTimeout = 2500 * time.Millisecond
	// maxWarmUp bounds how long a new instance waits for complete reports of its cell peers.
	maxWarmUp = 3 * time.Second
)

// awaySeed separates the random stream of the pauses of rejecting servers from the
// instance's other streams.
const awaySeed = 5

// Loads is the module "control.loads".
type Loads struct {
	// RelayReports sends reports of changes to other data centres through one cell peer in each.
	// Peers pass on reports whatever their own setting is.
	RelayReports bool `toml:"relay_reports"`

	log     *zap.Logger
	link    *peerlink.Link
	members *members.Members
	catalog *follow.Follower

	now        func() time.Duration
	scope      tally.Scope
	dirty      chan struct{}
	dataCentre string

	mu     sync.Mutex
	ledger *spread.Ledger
	queue  *spread.Queue
	away   *away.Table
	// shares is the usage of customers, nil without KeepShares.
	shares *fairshare.Table
	// lastChanged is the work that changed before the last report, which was sent at lastReportAt;
	// reportCount is the number of reports sent.
	lastChanged  map[spread.Key]spread.Work
	lastReportAt time.Duration
	reportCount  uint64
	// newestReport identifies the newest report received from each cell peer.
	newestReport map[string]reportID
	// synced holds the cell peers from which a complete report was received.
	synced    map[string]bool
	cell      cell.Cell
	cellPeers map[string]bool
	// monitors are the cell peers that monitor this instance, empty for all; idleReports counts
	// the complete reports since it last had work or other cell peers.
	monitors    []string
	idleReports int
	// cellOf is what cell was computed from.
	cellOf cellInput
	// fanoutPeers are the cell peers with their data centres.
	fanoutPeers []fanout.Peer
	// relayRound counts the reports that were planned with relays. Complete reports do not count: they
	// come at regular intervals, so that some instances would not be relays for long.
	relayRound uint64
}

// reportID identifies a report of an instance: sequence restarts with each incarnation.
type reportID struct{ incarnation, sequence uint64 }

// ModuleInfo implements auburnmoor.Module.
func (*Loads) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{
		ID: ID, Requires: []auburnmoor.ModuleID{members.ID, peerlink.ID, follow.ID}, OptIn: true,
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
	l.dataCentre = c.Self.DataCentre
	l.away = away.NewTable(rand.New(rand.NewPCG(c.Seed, awaySeed)).Float64)
	l.cell.Count = 1
	l.dirty, l.synced, l.newestReport = make(chan struct{}, 1), map[string]bool{}, map[string]reportID{}
	l.link.Handle(l.receive)
	l.members.OnView(l.updateCell)
	return nil
}

// Start implements auburnmoor.Starter.
func (l *Loads) Start(ctx context.Context) error {
	go l.run(ctx)
	return nil
}

// Place calls choose with the current loads and the queue of held prompts, and records the
// resulting placement under the same lock, so that two requests of this instance never
// claim the same capacity.
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

// EndPrefill records the end of a request's prefill on all its servers. Helpers count the
// prompt against their limit of concurrent parts until then.
func (l *Loads) EndPrefill(p spread.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range p.Parts {
		l.ledger.EndPrefill(part.Server.ID, part.Recorded)
		l.ledger.Sub(part.Server.ID, part.Load.PrefillPhase())
	}
	l.wake()
}

// EndDecode removes the decode load of a placed request, which EndPrefill leaves in place.
func (l *Loads) EndDecode(p spread.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range p.Parts {
		l.ledger.Sub(part.Server.ID, part.Load.DecodePhase())
	}
	l.wake()
}

// Hold records that this instance holds back a deep prompt.
func (l *Loads) Hold(t spread.Turn) {
	l.updateQueue(func(q *spread.Queue) { q.Hold(t) })
}

// Release removes a prompt that Hold recorded.
func (l *Loads) Release(request string) {
	l.updateQueue(func(q *spread.Queue) { q.Release(request) })
}

// WaitForSlot adds n to the number of this instance's requests that wait for a free slot.
func (l *Loads) WaitForSlot(n int) {
	l.updateQueue(func(q *spread.Queue) { q.WaitForSlot(n) })
}

func (l *Loads) updateQueue(change func(*spread.Queue)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Update(l.now(), change) {
		l.wake()
	}
}

// RecordRejection records that a server rejected work although it should have had capacity, and
// reports it to cell peers. storeSilent says that the store has not answered for a while.
func (l *Loads) RecordRejection(s backends.Server, storeSilent bool) {
	l.mu.Lock()
	pause, fresh := l.away.RecordRejection(l.now(), away.KeyOf(s), storeSilent)
	l.wake()
	l.mu.Unlock()
	if fresh {
		l.scope.Counter("servers_passed_over_total").Inc(1)
		l.log.Info("server rejected work, not used for a while", zap.String("server", s.ID), zap.Duration("for", pause), zap.Bool("store_silent", storeSilent))
	}
}

// Available returns the servers without those that are passed over because they rejected work
// of this instance or of a cell peer, or all of them if too few would remain.
func (l *Loads) Available(servers []backends.Server) []backends.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away.Available(l.now(), servers)
}

// Total returns the load that all instances of the cell have placed on a server.
func (l *Loads) Total(server string) spread.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Advance(l.now())
	return l.ledger.Total(server)
}

// Backlog returns the mean prefill time that is pending on the servers.
func (l *Loads) Backlog(servers []backends.Server) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Advance(l.now())
	return spread.Backlog(servers, l.ledger.Total)
}

// WarmingUp reports whether this instance started too recently to know the work that its
// cell peers have placed. Instances that start together and take all servers for idle would
// all choose the same ones.
func (l *Loads) WarmingUp() bool {
	if l.now() > maxWarmUp {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cellPeers) == 0 {
		return true
	}
	for peer := range l.cellPeers {
		if !l.synced[peer] {
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
	complete := time.NewTicker(completeInterval)
	defer complete.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-complete.C:
			l.updateCell(l.members.View())
			l.report(true)
			l.expire()
			l.expireShares()
		case <-l.dirty:
			time.Sleep(batchDelay)
			l.report(false)
		}
	}
}

// expire drops the work reported by peers whose reports have stopped.
func (l *Loads) expire() {
	l.mu.Lock()
	silent := l.ledger.Expire(l.now() - peerTimeout)
	l.mu.Unlock()
	for _, peer := range silent {
		l.log.Warn("load reports of a peer stopped, its work is no longer counted", zap.String("peer", peer), zap.Duration("silent", peerTimeout))
	}
}

// report sends the changed work to the cell peers, or all work if complete is set.
func (l *Loads) report(complete bool) {
	l.mu.Lock()
	now := l.now()
	l.ledger.Advance(now)
	changed := l.ledger.TakeChanged(now)
	latest := changed
	if complete {
		changed = l.ledger.AllLocalWork(now)
	} else {
		changed = l.withLastChanged(now, changed)
	}
	l.lastChanged, l.lastReportAt = latest, now
	l.reportCount++
	sequence := l.reportCount
	waiting := l.queue.TakeState(now)
	rejected := l.away.Observed(now)
	peers := l.cell.Peers
	if complete {
		idle := len(changed) == 0 && len(rejected) == 0 && !waiting.HasFirst && waiting.ForSlot == 0
		peers = l.completeReceivers(idle)
	}
	plan := l.planChanges(now, complete)
	msg := &peerpb.LoadReport{Complete: complete, Sequence: sequence, ForSlot: int32(waiting.ForSlot)}
	l.addUsage(now, msg, waiting)
	l.mu.Unlock()
	if waiting.HasFirst {
		msg.Held = encodeHeldPrompt(now, waiting.First)
	}
	encodeWork(msg, changed)
	encodeRejections(msg, rejected)
	l.send(peers, plan, msg)
}

// withLastChanged adds the current state of the servers in the last report if that was sent within
// repeatWindow, in case it was lost. Under load, reports follow each other within
// milliseconds. l.mu must be held.
func (l *Loads) withLastChanged(now time.Duration, changed map[spread.Key]spread.Work) map[spread.Key]spread.Work {
	if now-l.lastReportAt > repeatWindow {
		return changed
	}
	out := maps.Clone(changed)
	if out == nil {
		out = map[spread.Key]spread.Work{}
	}
	for server := range l.lastChanged {
		out[server] = l.ledger.LocalWork(now, server)
	}
	return out
}

func (l *Loads) receive(from string, env *peerpb.Envelope) {
	r := env.GetLoadReport()
	if r == nil {
		return
	}
	work, ok := decodeWork(r)
	rejected, valid := decodeRejections(r)
	if !ok || !valid {
		l.log.Warn("malformed load report ignored", zap.String("peer", from), zap.Int("servers", len(r.Servers)))
		return
	}
	l.mu.Lock()
	applied := l.apply(from, env.Incarnation, r, work, rejected)
	var neighbours []string
	if applied && r.Relay && !r.Relayed {
		neighbours = fanout.Neighbours(from, l.dataCentre, l.fanoutPeers)
	}
	l.mu.Unlock()
	l.passOn(neighbours, env)
}

// apply applies a report unless it is outdated or its sender's work does not count here, and
// returns whether it did. l.mu must be held.
func (l *Loads) apply(
	from string, incarnation uint64, r *peerpb.LoadReport, work map[spread.Key]spread.Work, rejected map[away.Key]time.Duration,
) bool {
	if !l.cellPeers[from] {
		// The sender's member or server list differs for the moment and puts it into this
		// cell. Its work is not counted until the lists agree.
		return false
	}
	id, last, now := reportID{incarnation, r.Sequence}, l.newestReport[from], l.now()
	if last.incarnation == id.incarnation && id.sequence <= last.sequence && id.sequence > 0 {
		return false
	}
	if r.Relayed {
		// A relay that was frozen passes on reports of processes that have ended.
		if last.incarnation != id.incarnation || !l.ledger.ApplyRelayed(now, from, work) {
			return false
		}
	} else {
		l.ledger.ApplyReport(now, from, r.Complete, work)
		l.synced[from] = l.synced[from] || r.Complete
	}
	l.newestReport[from] = id
	l.queue.ApplyReport(now, from, decodeWaiting(now, r))
	l.applyUsage(now, from, r)
	for server, left := range rejected {
		l.away.ApplyReport(now, server, left)
	}
	return true
}

// encodeHeldPrompt encodes a held prompt with its waiting time instead of its arrival time,
// because instances have no common clock.
func encodeHeldPrompt(now time.Duration, t spread.Turn) *peerpb.HeldPrompt {
	return &peerpb.HeldPrompt{
		Request: t.Request, Weight: t.Weight, Rank: int32(t.Rank), WaitedUs: (now - t.Arrived).Microseconds(),
		UsefulUs: t.FirstTarget.Microseconds(), LateAfterUs: t.LateAfter.Microseconds(), OverShare: t.OverShare,
	}
}

func decodeWaiting(now time.Duration, r *peerpb.LoadReport) spread.Waiting {
	w := spread.Waiting{ForSlot: int(r.ForSlot)}
	if h := r.Held; h != nil {
		w.First, w.HasFirst = spread.Turn{
			Request: h.Request, Weight: h.Weight, Rank: int(h.Rank), Arrived: now - peerpb.Micros(h.WaitedUs),
			FirstTarget: peerpb.Micros(h.UsefulUs), LateAfter: peerpb.Micros(h.LateAfterUs), OverShare: h.OverShare,
		}, true
	}
	return w
}

// Dump implements auburnmoor.Dumper.
func (l *Loads) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Cell: l.cell.Index, Cells: l.cell.Count, CellPeers: l.cell.Peers,
		Totals: map[string]spread.Load{}, Own: map[string]spread.Load{}, Customers: l.dumpShares(),
	}
	l.ledger.Advance(l.now())
	list := l.catalog.Servers()
	if list == nil {
		return d
	}
	for _, s := range list.All() {
		setNonZero(d.Totals, s.ID, l.ledger.Total(s.ID))
		setNonZero(d.Own, s.ID, l.ledger.LocalLoad(s.ID))
		if l.away.PassedOver(l.now(), away.KeyOf(s)) {
			d.PassedOver = append(d.PassedOver, s.ID)
		}
	}
	return d
}

func setNonZero(loads map[string]spread.Load, server string, v spread.Load) {
	if v != (spread.Load{}) {
		loads[server] = v
	}
}

// Dump is the state of the module: this instance's cell and the load on the listed servers.
type Dump struct {
	Cell      int                    `json:"cell"`
	Cells     int                    `json:"cells"`
	CellPeers []string               `json:"mates,omitempty"`
	Totals    map[string]spread.Load `json:"totals"`
	Own       map[string]spread.Load `json:"own"`
	// PassedOver lists the servers that are not used because they rejected work of this
	// instance or of a cell peer.
	PassedOver []string `json:"passed_over,omitempty"`
	// Customers are the customers with their usage and share, if shares are kept.
	Customers []CustomerDump `json:"customers,omitempty"`
}
