package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Sizes of the stand-ins behind the fleet.
const (
	engines, plainServers = 5, 4
	slots                 = 8
	// engineMemory holds a usual prompt and not a deep one, in tokens.
	engineMemory = 100_000
	events       = 8
	eventPause   = 15 * time.Millisecond
)

// Names of the configuration.
const (
	host, key              = "h.example", "k1"
	modelService           = "model"
	plainService           = "registry"
	routeTimeoutMS         = 8000
	askPath, lookPath      = "/ask/", "/look/"
	printPath, addedPrefix = "/print/", "/added-"
)

// deadlyBody crashes the engine that runs it, with all else that it runs, for crashedFor.
const (
	deadlyBody = "deadly"
	crashedFor = 1500 * time.Millisecond
)

// server is a backend server and the link to it.
type server struct {
	id, service, dataCentre string
	stand                   *workerserver.Server
	link                    *proxy
	calm                    calm
	// left is when the store acknowledged that it leaves, zero if it did not.
	left time.Time
}

// site is what stands around the fleet: the store, the backend servers and the operator.
type site struct {
	store  *storeserver.Server
	calm   calm
	mutant Mutant

	mu      sync.Mutex
	servers []*server
	made    int
	conf    storeserver.Site
	// added is when the store acknowledged each added route.
	added []time.Time
	// faults are those in progress, queue the writes that wait for their end.
	faults []storeserver.Faults
	queue  []func()
}

func newSite(m Mutant) (*site, error) {
	s := &site{store: storeserver.New("127.0.0.1:0"), mutant: m}
	if err := s.store.Start(); err != nil {
		return nil, err
	}
	s.conf = storeserver.Site{Version: 1, Models: []string{modelService}, Plain: []string{plainService}, EngineMemory: engineMemory, Keys: []string{key}}
	s.conf.Routes = []storeserver.Route{
		{Name: "ask", Host: host, Prefix: askPath, Service: modelService, Kind: "streaming", TimeoutMS: routeTimeoutMS},
		{Name: "look", Host: host, Prefix: lookPath, Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS},
		{Name: "print", Host: host, Prefix: printPath, Service: plainService, Kind: "unsafe", TimeoutMS: routeTimeoutMS},
	}
	if err := s.store.PutSite(s.conf); err != nil {
		return nil, err
	}
	for i := range engines + plainServers {
		if err := s.addServer(map[bool]string{true: modelService, false: plainService}[i < engines]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addServer(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &server{id: fmt.Sprintf("s%03d", s.made), service: service, dataCentre: fmt.Sprintf("dc-%d", s.made%dataCentres)}
	s.made++
	cfg := workerserver.Config{ID: v.id, Addr: "127.0.0.1:0", DefaultFault: s.mutant.answers()}
	if service == modelService {
		cfg.Events, cfg.EventPause, cfg.Memory, cfg.KeepReserved = events, eventPause, engineMemory, s.mutant == KeepsMemory
		cfg.CrashOn, cfg.RestartAfter = deadlyBody, crashedFor
		cfg.OnCrash, cfg.OnRestart = func() { v.link.refuse() }, func() { v.link.listen() }
	}
	v.stand = workerserver.New(cfg)
	if err := v.stand.Start(); err != nil {
		return err
	}
	var err error
	if v.link, err = newProxy(v.stand.Addr()); err != nil {
		return err
	}
	s.servers = append(s.servers, v)
	s.write(func() { s.announce(v) })
	return nil
}

// announce writes the entry of a server. An error of the stand-in is a defect of the test.
func (s *site) announce(v *server) {
	if err := s.store.PutEntry(storeserver.Entry{ID: v.id, Service: v.service, Addr: v.link.addr(), DataCentre: v.dataCentre, Slots: slots, Leaving: !v.left.IsZero()}); err != nil {
		panic(err)
	}
}

// write does a write, or queues it while the store is away; s.mu is held.
func (s *site) write(do func()) {
	if len(s.faults) > 0 {
		s.queue = append(s.queue, do)
		return
	}
	do()
}

// suffer begins a fault of the store and returns what ends it.
func (s *site) suffer(f storeserver.Faults) (end func()) {
	s.calm.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
	s.apply()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, o := range s.faults {
			if o == f {
				s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
				break
			}
		}
		s.apply()
		s.calm.end()
		if len(s.faults) > 0 {
			return
		}
		for _, do := range s.queue {
			do()
		}
		s.queue = nil
	}
}

// apply sets the sum of the faults in progress.
func (s *site) apply() {
	var sum storeserver.Faults
	for _, f := range s.faults {
		sum.Down = sum.Down || f.Down
		sum.Silent = sum.Silent || f.Silent
		sum.DelayMS = max(sum.DelayMS, f.DelayMS)
	}
	s.store.SetFaults(sum)
}

// forget drops the history of the store.
func (s *site) forget() {
	s.calm.strike()
	s.store.SetFaults(storeserver.Faults{ForgetHistory: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply()
}

// writersReturn is when those who wrote to the store write again after it went back.
const writersReturn = 500 * time.Millisecond

// older has the store come back from its copy; its writers write again.
func (s *site) older() {
	s.calm.begin()
	defer s.calm.end()
	s.store.Restore()
	time.Sleep(writersReturn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(func() {
		if err := s.store.PutSite(s.conf); err != nil {
			panic(err)
		}
		for _, v := range s.servers {
			if v.left.IsZero() {
				s.announce(v)
			} else {
				s.store.RemoveEntry(v.id)
			}
		}
	})
}

// change adds a route. The operator has the word of the store when it is written.
func (s *site) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(func() {
		s.conf.Version += 2
		n := len(s.added)
		s.conf.Routes = append(s.conf.Routes, storeserver.Route{
			Name: fmt.Sprint("added-", n), Host: host, Prefix: addedPath(n), Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS,
		})
		s.added = append(s.added, time.Now())
		conf := s.conf
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

func addedPath(n int) string { return fmt.Sprintf("%s%d/", addedPrefix, n) }

// newest returns the number of routes that were added.
func (s *site) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.added)
}

// goneAfter is how long a server serves on once it said that it leaves.
const goneAfter = 6 * time.Second

// replace has a server leave and another come.
func (s *site) replace(v *server) error {
	s.mu.Lock()
	s.write(func() {
		if !v.left.IsZero() {
			return
		}
		v.left = time.Now()
		if s.mutant != KeepsEntry {
			s.announce(v)
			time.AfterFunc(goneAfter, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.write(func() { s.store.RemoveEntry(v.id) })
			})
		}
	})
	s.mu.Unlock()
	return s.addServer(v.service)
}

// all returns the servers so far.
func (s *site) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*server(nil), s.servers...)
}

func (s *site) close() {
	s.store.Close()
	for _, v := range s.all() {
		v.link.close()
		v.stand.Close()
	}
}
