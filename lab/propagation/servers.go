package propagation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// ServerScene is one run in which servers start, write their entries, leave and come back, in trouble or
// without.
type ServerScene struct {
	Scene
	// Servers is the number of servers that come and go.
	Servers int
	// Staleness is what lists that may be stale hold.
	Staleness simstore.Staleness
	// WrongDeltas is the number of times that an instance gets a wrong message with changes, at the
	// position of a right one.
	WrongDeltas int
}

// Times of a server scene.
const (
	// Servers come and go from serversFrom to serversTo.
	serversFrom = 8 * time.Second
	serversFor  = 16 * time.Second
	serversTo   = serversFrom + serversFor
	// serverHeartbeat is the interval at which a cold server writes its entry, serverColdTime how long it
	// is cold.
	serverHeartbeat = 1200 * time.Millisecond
	serverColdTime  = 15 * time.Second
	// longestServerLife is the longest time from the start of a server to its leaving.
	longestServerLife = 8 * time.Second
	// returnWithin is the time within which an entry that expired is back.
	returnWithin = 2 * time.Second
	// fewServers and moreServers bound the number of servers of a drawn scene.
	fewServers, moreServers = 10, 60
	// mostInstances is the largest share of the instances whose calls for servers fail.
	mostInstances = 0.9
	// mendWithin bounds the time for which a list may be wrong.
	mendWithin = 2 * time.Second
	// usesInterval is how often the lists in use are compared with those of the store.
	usesInterval = 250 * time.Millisecond
)

// CalmServers is a scene without trouble.
func CalmServers(site Site, seed uint64) ServerScene {
	return ServerScene{Scene: Scene{Site: site, Seed: seed, Tail: serversTail(site)}, Servers: moreServers}
}

// WrongServers is a scene without trouble in which instances get wrong messages.
func WrongServers(site Site, seed uint64) ServerScene {
	s := CalmServers(site, seed)
	s.Servers, s.WrongDeltas = fewServers, 6
	return s
}

// DrawnServers is a scene with drawn trouble.
func DrawnServers(site Site, seed uint64) ServerScene {
	s := ServerScene{Scene: Drawn(site, seed)}
	r := rand.New(rand.NewPCG(seed, 8))
	s.Restore, s.Changes, s.Site.Size.ConfigBytes = false, 1, site.Size.ConfigBytes
	s.Outage = min(s.Outage, serversFor)
	s.Servers = fewServers + r.IntN(moreServers-fewServers)
	s.Staleness = pick(r, simstore.Current, simstore.Past, simstore.PastAsPresent)
	s.Tail = serversTail(site)
	return s
}

// OneSourceServers is a scene in which the calls for one source fail, for that of the servers at most instances only.
func OneSourceServers(site Site, seed uint64) ServerScene {
	s := ServerScene{Scene: OneSource(site, seed), Servers: moreServers}
	s.Changes, s.Outage = 1, min(s.Outage, serversFor)
	if *s.OfSource == watch.Servers {
		s.Share, s.OfWatchers = min(s.Share, mostInstances), false
	}
	s.Tail = serversTail(site)
	return s
}

// serversTail is the time after the last event within which all lists must be those of the store.
func serversTail(site Site) time.Duration { return 2*site.StableAfter + site.ApplyWithin }

// String describes the scene.
func (s ServerScene) String() string {
	return fmt.Sprintf("%v; %d servers, lists %q", s.Scene, s.Servers, s.Staleness)
}

// ServerReport is what was measured in a server scene.
type ServerReport struct {
	// Out holds the times from the acknowledgement that a server leaves or is gone to the last moment at
	// which an instance that was in touch throughout used it.
	Out Distribution
	// Mended holds the times for which lists were wrong in scenes with wrong messages.
	Mended Distribution
	// Late counts the servers that an instance in touch used longer after that than the bound,
	// Mismatches the lists that were not those of the store at their position, Unfinished the
	// instances whose list is not that of the store at the end, and Unmended the lists that were
	// wrong for too long.
	Late, Mismatches, Unfinished, Unmended int
	Examples                               []string
	StoreCalls                             int
	Bytes                                  uint64
}

// Broken reports whether something was seen that must not be.
func (r *ServerReport) Broken() bool { return r.Late+r.Mismatches+r.Unfinished+r.Unmended > 0 }

// Seen describes some of the cases in which something was broken, a line each.
func (r *ServerReport) Seen() string { return strings.Join(r.Examples, "\n") }

// Add adds what another run measured.
func (r *ServerReport) Add(o *ServerReport) {
	r.Out = append(r.Out, o.Out...)
	r.Mended = append(r.Mended, o.Mended...)
	r.Late += o.Late
	r.Mismatches += o.Mismatches
	r.Unfinished += o.Unfinished
	r.Unmended += o.Unmended
	r.StoreCalls += o.StoreCalls
	r.Bytes += o.Bytes
}

// String is a line with the figures.
func (r *ServerReport) String() string {
	return fmt.Sprintf("out of use after %v; wrong lists mended after %v; late %d, mismatches %d, unfinished %d, unmended %d; %d store calls, %.2f MB between instances",
		r.Out, r.Mended, r.Late, r.Mismatches, r.Unfinished, r.Unmended, r.StoreCalls, float64(r.Bytes)/1e6)
}

// serverRun is a server scene in progress.
type serverRun struct {
	*run
	scene       ServerScene
	dataCentres []string

	mu sync.Mutex
	// left is when the leaving of each server was acknowledged that has not come back.
	left map[string]time.Time
	// unheard are the instances that have used a server at every poll since it left.
	unheard map[string]map[*process]bool
	// digests are those of the store's list by revision.
	digests map[int64]uint64
	// wrong are the lists that were counted as mismatches, lateAt the servers counted as late, and wrongSince
	// is since when the list of a process has been wrong.
	wrong      map[string]bool
	lateAt     map[string]bool
	wrongSince map[*process]time.Time
	report     ServerReport
}

// PlayServers plays a server scene.
func PlayServers(s ServerScene, log *zap.Logger) (*ServerReport, error) {
	f := NewFleet(s.Site, s.Seed, log)
	defer f.Stop()
	r := &serverRun{
		run: &run{scene: s.Scene, fleet: f, meter: newMeter(f), begin: time.Now(), rand: rand.New(rand.NewPCG(s.Seed, 9))}, scene: s,
		left: map[string]time.Time{}, unheard: map[string]map[*process]bool{}, digests: map[int64]uint64{}, wrong: map[string]bool{}, lateAt: map[string]bool{},
		wrongSince: map[*process]time.Time{},
	}
	for i := range s.Site.DataCentres {
		r.dataCentres = append(r.dataCentres, fmt.Sprintf("dc-%d", i))
	}
	f.Store.SetStaleness(s.Staleness)
	if err := r.start(); err != nil {
		return nil, err
	}
	end := max(r.schedule(r.events()), serversTo+longestServerLife+s.Tail)
	r.scheduleServers()
	for now, checked := time.Duration(0), time.Duration(0); now < end; now = time.Since(r.begin) {
		time.Sleep(pollInterval)
		r.meter.poll()
		r.poll()
		if now-checked >= usesInterval {
			checked = now
			r.checkUses()
		}
	}
	r.checkEnd()
	r.report.StoreCalls, r.report.Bytes = f.Store.Calls(), f.Net.Traffic().Bytes
	return &r.report, r.err
}

// scheduleServers draws the lives of the servers that come and go.
func (r *serverRun) scheduleServers() {
	draw := rand.New(rand.NewPCG(r.scene.Seed, 10))
	for i := range r.scene.Servers {
		v := simstore.NewServer(r.scene.Site.Size.Servers+i, r.dataCentres)
		from := between(draw, serversFrom, serversTo)
		life := &serverLife{run: r, server: v, rand: rand.New(rand.NewPCG(r.scene.Seed, uint64(100+i)))}
		r.after(from, life.start)
	}
	for range r.scene.WrongDeltas {
		r.after(between(draw, serversFrom, serversTo), func() { r.sendWrongDelta(draw) })
	}
	// Servers that were listed before leave as well, without a heartbeat.
	for i := range min(r.scene.Servers, r.scene.Site.Size.Servers) / 4 {
		v := simstore.NewServer(i, r.dataCentres)
		life := &serverLife{run: r, server: v, rand: rand.New(rand.NewPCG(r.scene.Seed, uint64(10_000+i)))}
		r.after(between(draw, serversFrom, serversTo), life.leave)
	}
}

// write writes the entry of a server.
func (r *serverRun) write(v backends.Server) {
	_, at := r.fleet.Store.PutServer(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch _, left := r.left[v.ID]; {
	case v.Leaving && !left:
		r.recordLeft(v.ID, at)
	case !v.Leaving:
		delete(r.left, v.ID)
		delete(r.unheard, v.ID)
	}
}

// remove removes the entry of a server.
func (r *serverRun) remove(id string) {
	_, at := r.fleet.Store.RemoveServer(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.left[id]; !left {
		r.recordLeft(id, at)
	}
}

// recordLeft records that a server leaves. The caller holds r.mu.
func (r *serverRun) recordLeft(id string, at time.Time) {
	r.left[id] = at
	r.unheard[id] = map[*process]bool{}
	for i, in := range r.fleet.instances {
		if p := in.running.Load(); p != nil && r.inTouch(i, at) && p.usesServer(id) {
			r.unheard[id][p] = true
		}
	}
}

// inTouch reports whether an instance is in touch at a time, by the rules of the platform.
func (r *serverRun) inTouch(instance int, now time.Time) bool {
	m := r.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	_, sound := m.boundOf(now, r.fleet.instances[instance], &m.observed[instance])
	return sound && m.storeTrouble == simstore.Sound && now.Sub(m.storeChangedAt) >= r.scene.Site.StableAfter
}

// poll compares the lists of all instances with those of the store.
func (r *serverRun) poll() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, in := range r.fleet.instances {
		p := in.running.Load()
		if p == nil || p.follower.Servers() == nil {
			continue
		}
		r.compare(in, p)
		for id, unheard := range r.unheard {
			switch {
			case !unheard[p]:
			case !r.inTouch(i, now):
				delete(unheard, p)
			case !p.usesServer(id):
				delete(unheard, p)
				r.report.Out = append(r.report.Out, now.Sub(r.left[id]))
			}
		}
	}
}

// compare counts a list that is not that of the store at its position. The caller holds r.mu.
func (r *serverRun) compare(in *instance, p *process) {
	snap := p.follower.Servers()
	if snap.At.Revision == 0 {
		// The instance takes its list for one of unknown age.
		return
	}
	right := snap.Digest == r.digestAt(snap.At.Revision)
	if r.scene.WrongDeltas > 0 {
		r.recordWrong(in, p, right)
		return
	}
	if right {
		return
	}
	key := fmt.Sprint(in.name, " ", p.startedAt.UnixNano(), " ", snap.At)
	if !r.wrong[key] {
		r.wrong[key] = true
		r.report.Mismatches++
		r.example("%s holds %d servers at %s, the store %d", in.name, snap.Len(), snap.At, len(r.fleet.Store.ServersAt(snap.At.Revision)))
	}
}

// recordWrong measures for how long the list of a process is wrong. The caller holds r.mu.
func (r *serverRun) recordWrong(in *instance, p *process, right bool) {
	since, wrong := r.wrongSince[p]
	switch {
	case wrong && right:
		r.report.Mended = append(r.report.Mended, time.Since(since))
		if time.Since(since) > mendWithin {
			r.report.Unmended++
			r.example("%s held a wrong list for %s", in.name, time.Since(since))
		}
		delete(r.wrongSince, p)
	case !wrong && !right:
		r.wrongSince[p] = time.Now()
	}
}

// sendWrongDelta has the store change a server and an instance receive a wrong message on that at once.
func (r *serverRun) sendWrongDelta(draw *rand.Rand) {
	to, from := r.fleet.instances[draw.IntN(len(r.fleet.instances))], r.fleet.instances[draw.IntN(len(r.fleet.instances))]
	p, sender := to.running.Load(), from.running.Load()
	if p == nil || sender == nil || p == sender {
		return
	}
	held := p.follower.Servers()
	last := r.scene.Site.Size.Servers - 1
	changed := simstore.NewServer(last, r.dataCentres)
	changed.Slots += draw.IntN(100)
	revision, _ := r.fleet.Store.PutServer(changed)
	m := &peerpb.ServersReply{Revision: revision, Era: held.At.Era, Changes: true, After: held.At.Revision, AfterEra: held.At.Era, AfterDigest: held.Digest}
	if draw.IntN(2) == 0 {
		m.Gone = []string{simstore.ServerID(last - 1), simstore.ServerID(last - 2)}
	} else {
		m.Servers = []*peerpb.ListedServer{{Id: "wrong", Service: simstore.Service, Addr: "10.201.0.1:8000", DataCentre: "dc-0", Slots: 1}}
	}
	sender.kernel.Module(peerlink.ID).(*peerlink.Link).Send(to.name, &peerpb.Envelope{Body: &peerpb.Envelope_ServersReply{ServersReply: m}})
}

func (r *serverRun) example(format string, args ...any) {
	if len(r.report.Examples) < maxExamples {
		r.report.Examples = append(r.report.Examples, fmt.Sprintf("%7.3f s: ", time.Since(r.begin).Seconds())+fmt.Sprintf(format, args...))
	}
}

// digestAt returns the digest of the store's list at a revision.
func (r *serverRun) digestAt(revision int64) uint64 {
	d, known := r.digests[revision]
	if !known {
		set := backends.NewSet()
		set.Replace(0, r.fleet.Store.ServersAt(revision), r.fleet.Store.Position())
		d = set.Snapshot().Digest
		r.digests[revision] = d
	}
	return d
}

// checkUses counts the servers that instances in touch use too long after they left.
func (r *serverRun) checkUses() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, in := range r.fleet.instances {
		p := in.running.Load()
		if p == nil || p.follower.Servers() == nil || !r.inTouch(i, now) {
			continue
		}
		for _, v := range p.follower.Servers().Ready(simstore.Service) {
			at, left := r.left[v.ID]
			key := in.name + " " + v.ID
			if left && now.Sub(at) > r.scene.Site.ApplyWithin && !r.lateAt[key] {
				r.lateAt[key] = true
				r.report.Late++
				r.example("%s uses %s, which left %s ago, at %s", in.name, v.ID, now.Sub(at).Round(time.Millisecond), p.follower.Servers().At)
			}
		}
	}
}

// checkEnd counts the instances whose list is not that of the store.
func (r *serverRun) checkEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	want := r.digestAt(r.fleet.Store.Position().Revision)
	for _, in := range r.fleet.instances {
		p := in.running.Load()
		if p == nil || p.follower.Servers() == nil || p.follower.Servers().Digest != want {
			r.report.Unfinished++
			r.example("%s holds another list than the store at the end", in.name)
		}
	}
}

// usesServer reports whether a process may send requests to a server.
func (p *process) usesServer(id string) bool {
	snap := p.follower.Servers()
	if snap == nil {
		return false
	}
	v, listed := snap.Get(id)
	return listed && !v.Leaving
}
