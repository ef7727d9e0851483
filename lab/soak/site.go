package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Sizes of the stand-in backend servers.
const (
	engineCount, plainServerCount, secondServerCount = 5, 4, 2
	slotsPerServer                                   = 8
	// engineMemory, in tokens, has room for a normal prompt but not for a long one.
	engineMemory = 100_000
	eventCount   = 8
	eventPause   = 40 * time.Millisecond
)

// Values in the configuration of the store.
const (
	host, key              = "h.example", "k1"
	modelService           = "model"
	plainService           = "registry"
	secondService          = "archive"
	routeTimeoutMS         = 8000
	askPath, lookPath      = "/ask/", "/look/"
	printPath, addedPrefix = "/print/", "/added-"
	// swingPath is a route that changes of the configuration move and drop, extraKey a key that
	// they withdraw.
	swingPath, extraKey = "/swing/", "k2"
)

// A request with deadlyBody crashes its engine, and all that runs on it, for crashDuration.
const (
	deadlyBody    = "deadly"
	crashDuration = 1500 * time.Millisecond
)

// server is a stand-in backend server and the proxy in front of it.
type server struct {
	id, service, dataCentre string
	standin                 *workerserver.Server
	link                    *proxy
	disturbances            disturbanceLog
	startedAt               time.Time
	// leftAt is when the store acknowledged that the server leaves, zero before.
	leftAt time.Time
	// limits are the limits that the server named.
	limits []namedLimit
	// colds are the times at which the server was cold, with its rate.
	colds []namedLimit
	// saidAt is when the server began to say that it leaves, zero before.
	saidAt time.Time
	// silences records when the server may be silent.
	silences disturbanceLog
	// rest is the rest that the server asked for last.
	rest namedRest
}

// namedLimit is a limit that a server named for a time; to is zero while it does.
type namedLimit struct {
	perSecond float64
	from, to  time.Time
}

// setLimit lets the server name a limit, unless it hides it, until endLimit is called.
func (v *server) setLimit(perSecond float64, hidden bool) {
	v.limits = append(v.limits, namedLimit{perSecond: perSecond, from: time.Now()})
	if hidden {
		return
	}
	v.standin.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

func (v *server) endLimit() {
	v.limits[len(v.limits)-1].to = time.Now()
	v.standin.SetLimit()
}

// fallSilent makes the server silent for d, at once or where its next answers come to a point.
func (v *server) fallSilent(how silence, d time.Duration) {
	// A silence at a point begins within d.
	v.silences.addSpan(span{time.Now(), time.Now().Add(2 * d)})
	switch how {
	case silentLink:
		v.link.hold()
	case silentNow:
		v.standin.SilenceNow(d)
	default:
		v.standin.Silence(workerserver.SilencePoint(how), d)
	}
}

// endSilence ends a silence that is in force or has not begun; one that has begun late goes on.
func (v *server) endSilence(how silence) {
	switch how {
	case silentLink:
		v.link.release()
	case silentNow:
	default:
		v.standin.ClearSilences()
	}
}

// site is the environment of the fleet: the store, the backend servers and the operator.
type site struct {
	store        *storeserver.Server
	disturbances disturbanceLog
	mutant       Mutant

	mu         sync.Mutex
	servers    []*server
	created    int
	siteConfig storeserver.Site
	// variant is the change of siteConfig in force, shorter records when timeouts are shorter.
	variant variant
	shorter disturbanceLog
	// evacuations are those so far, restores records when the store was restored from a copy.
	evacuations []evacuationSpan
	restores    disturbanceLog
	// sourceDisturbances records when the calls for one kind of object failed, and which one.
	sourceDisturbances map[string]*disturbanceLog
	// addedAt holds when the store acknowledged each added route.
	addedAt []time.Time
	// faults are the store faults in progress, queuedWrites wait for their end.
	faults []*storeserver.Faults
	// storeFaults counts those that affect all calls.
	storeFaults  int
	queuedWrites []func()
}

func newSite(m Mutant, limitsCold bool) (*site, error) {
	s := &site{store: storeserver.New("127.0.0.1:0"), mutant: m, sourceDisturbances: map[string]*disturbanceLog{
		configKind: new(disturbanceLog), serversKind: new(disturbanceLog), evacuationsKind: new(disturbanceLog),
	}}
	if err := s.store.Start(); err != nil {
		return nil, err
	}
	s.siteConfig = storeserver.Site{Version: 1, Models: []string{modelService}, Plain: []string{plainService, secondService}, EngineMemory: engineMemory, Keys: []string{key}}
	if limitsCold {
		s.siteConfig.ColdPerSecond, s.siteConfig.ColdStart = coldRate, usualColdStart
	}
	s.siteConfig.Routes = []storeserver.Route{
		{Name: "ask", Host: host, Prefix: askPath, Service: modelService, Kind: "streaming", TimeoutMS: routeTimeoutMS},
		{Name: "look", Host: host, Prefix: lookPath, Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS},
		{Name: "print", Host: host, Prefix: printPath, Service: plainService, Kind: "unsafe", TimeoutMS: routeTimeoutMS},
	}
	if err := s.store.PutSite(s.variant.apply(s.siteConfig)); err != nil {
		return nil, err
	}
	services := slices.Concat(
		slices.Repeat([]string{modelService}, engineCount),
		slices.Repeat([]string{plainService}, plainServerCount),
		slices.Repeat([]string{secondService}, secondServerCount),
	)
	for _, service := range services {
		if err := s.addServer(service); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addServer(service string) error {
	_, err := s.addServerWith(service, s.announce)
	return err
}

// addServerWith adds a server, whose first entry is written by the given function, with s.mu held.
func (s *site) addServerWith(service string, announce func(*server)) (*server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &server{id: fmt.Sprintf("s%03d", s.created), service: service, dataCentre: fmt.Sprintf("dc-%d", s.created%dataCentreCount), startedAt: time.Now()}
	s.created++
	cfg := workerserver.Config{ID: v.id, Addr: "127.0.0.1:0", DefaultFault: s.mutant.workerFault()}
	if service == modelService {
		cfg.Events, cfg.EventPause, cfg.Memory, cfg.KeepReserved = eventCount, eventPause, engineMemory, s.mutant == KeepsMemory
		cfg.CrashOn, cfg.RestartAfter = deadlyBody, crashDuration
		cfg.OnCrash, cfg.OnRestart = func() { v.link.refuse() }, func() { v.link.reopen() }
	}
	v.standin = workerserver.New(cfg)
	if err := v.standin.Start(); err != nil {
		return nil, err
	}
	var err error
	if v.link, err = newProxy(v.standin.Addr()); err != nil {
		return nil, err
	}
	s.servers = append(s.servers, v)
	s.writeOrQueue(func() { announce(v) })
	return v, nil
}

// announce writes the entry of a server to the store. It panics on an error, which is a
// defect of the test.
func (s *site) announce(v *server) { s.put(s.entry(v)) }

func (s *site) entry(v *server) storeserver.Entry {
	return storeserver.Entry{
		ID: v.id, Service: v.service, Addr: v.link.addr(), DataCentre: v.dataCentre,
		Slots: slotsPerServer, Leaving: !v.leftAt.IsZero(),
	}
}

func (s *site) put(e storeserver.Entry) {
	if err := s.store.PutEntry(e); err != nil {
		panic(err)
	}
}

// writeOrQueue runs a write, or queues it while the store has a fault. It needs s.mu held.
func (s *site) writeOrQueue(do func()) {
	if s.storeFaults > 0 {
		s.queuedWrites = append(s.queuedWrites, do)
		return
	}
	do()
}

// beginFault injects a fault into the store and returns the function that ends it.
func (s *site) beginFault(f storeserver.Faults) (end func()) {
	s.disturbances.begin()
	s.mu.Lock()
	s.storeFaults++
	s.mu.Unlock()
	endFault := s.addFault(f)
	return func() {
		endFault()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances.end()
		if s.storeFaults--; s.storeFaults > 0 {
			return
		}
		for _, do := range s.queuedWrites {
			do()
		}
		s.queuedWrites = nil
	}
}

// addFault adds a fault to those of the store and returns the function that takes it away.
func (s *site) addFault(f storeserver.Faults) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, &f)
	s.applyFaults()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = slices.DeleteFunc(s.faults, func(o *storeserver.Faults) bool { return o == &f })
		s.applyFaults()
	}
}

// applyFaults sets the combination of the faults in progress on the store.
func (s *site) applyFaults() {
	sum := storeserver.Faults{Kinds: map[string]storeserver.KindFaults{}, Spoil: map[string]storeserver.Spoil{}}
	for _, f := range s.faults {
		sum.Down = sum.Down || f.Down
		sum.Silent = sum.Silent || f.Silent
		sum.DelayMS = max(sum.DelayMS, f.DelayMS)
		maps.Copy(sum.Kinds, f.Kinds)
		maps.Copy(sum.Spoil, f.Spoil)
	}
	s.store.SetFaults(sum)
}

// dropHistory makes the store drop its change history.
func (s *site) dropHistory() {
	s.disturbances.addInstant()
	s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyFaults()
}

// rewriteDelay is the time from a restore of the store until its writers write again.
const rewriteDelay = 500 * time.Millisecond

// restoreCopy restores the last copy of the store, then writes the current state again.
func (s *site) restoreCopy() {
	s.disturbances.begin()
	defer s.disturbances.end()
	s.restores.begin()
	defer s.restores.end()
	s.store.Restore()
	time.Sleep(rewriteDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		if err := s.store.PutSite(s.variant.apply(s.siteConfig)); err != nil {
			panic(err)
		}
		for _, v := range s.servers {
			if v.leftAt.IsZero() {
				s.announce(v)
			} else {
				s.store.RemoveEntry(v.id)
			}
		}
		s.rewriteEvacuations()
	})
}

// addRoute adds a route and records when the store acknowledged it.
func (s *site) addRoute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		s.siteConfig.Version += 2
		n := len(s.addedAt)
		s.siteConfig.Routes = append(s.siteConfig.Routes, storeserver.Route{
			Name: fmt.Sprint("added-", n), Host: host, Prefix: routePath(n), Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS,
		})
		s.addedAt = append(s.addedAt, time.Now())
		conf := s.variant.apply(s.siteConfig)
		if s.mutant == DropsRoute {
			conf.Routes = conf.Routes[1:]
		}
		put := func() {
			if err := s.store.PutSite(conf); err != nil {
				panic(err)
			}
		}
		if s.mutant == LateConfig {
			time.AfterFunc(mutantDelay, put)
			return
		}
		put()
	})
}

func routePath(n int) string { return fmt.Sprintf("%s%d/", addedPrefix, n) }

// routeCount returns the number of routes that were added.
func (s *site) routeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.addedAt)
}

// removalDelay is the time from the leaving of a server to the removal of its entry.
const removalDelay = 6 * time.Second

// replaceServer makes a server leave and adds a new one of the same service.
func (s *site) replaceServer(v *server) error {
	s.mu.Lock()
	s.writeOrQueue(func() {
		if !v.leftAt.IsZero() {
			return
		}
		v.leftAt = time.Now()
		if s.mutant != KeepsEntry {
			s.announce(v)
			time.AfterFunc(removalDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.writeOrQueue(func() { s.store.RemoveEntry(v.id) })
			})
		}
	})
	s.mu.Unlock()
	return s.addServer(v.service)
}

// allServers returns all servers, including those that left.
func (s *site) allServers() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*server(nil), s.servers...)
}

func (s *site) close() {
	s.store.Close()
	for _, v := range s.allServers() {
		v.link.close()
		v.standin.Close()
	}
}
