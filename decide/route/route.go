// Package route holds one version of the operators' configuration and answers
// which route, service and customer a request belongs to. A table never changes
// once it is built, so any number of goroutines may read it.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once for each client attempt.
	Once
	// Stream requests are answered by a series of numbered events.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
		return "once"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route is what the operators say of the requests under one prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares has at least one entry.
	Shares []Share
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// FirstTarget is the time within which the first event of a stream, or the
	// whole of another answer, is fully useful.
	FirstTarget time.Duration
	// GapTarget is the longest useful pause between two events of a stream.
	GapTarget time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the backend servers that one client attempt is sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
}

// Repeatable reports whether a request whose fate is unknown may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick draws a service by weight.
func (r *Route) Pick(rnd *rand.Rand) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	n := rnd.IntN(total)
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Engine describes how the model engines of a service compute.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Memory is the KV cache of an engine in tokens.
	Memory int64
	// Step is the base time of a token step.
	Step time.Duration
	// StepPerWriter is added to a step for each request that is writing.
	StepPerWriter time.Duration
	// StepPerThousand is added to a step for every 1,000 tokens of context.
	StepPerThousand time.Duration
	// ReadPerSecond is the speed of reading prompts in tokens.
	ReadPerSecond float64
	// PairsPerMillion is the time that a million pairs of a token and an
	// earlier token add to reading.
	PairsPerMillion time.Duration
	// Chunk is the most prompt tokens read in a step.
	Chunk int64
	// Stride is the number of steps of a pass that includes writers.
	Stride int
	// UsualAnswer is the mean number of tokens of an answer.
	UsualAnswer int64
}

// Service is a group of backend servers with the same task.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// TightestPause is the shortest GapTarget of the streams that may be sent to
	// the service; zero if there are none. NewTable sets it.
	TightestPause time.Duration
}

// Customer is an organization whose requests carry one of its keys.
type Customer struct {
	Name string
	Keys []string
	// Rank replaces the rank of the route when HasRank is set.
	Rank    int
	HasRank bool
}

// Config is the content of one version.
type Config struct {
	// Version rises with every change, in uneven steps.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Limits bound what clients may send and how long they may take. A zero value
// sets no bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the time for the headers of a request, IdleTimeout that
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table answers questions about one version.
type Table struct {
	Config
	byHost   map[string]map[string]*Route
	services map[string]*Service
	byKey    map[string]*Customer
}

// NewTable indexes a version.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: map[string]map[string]*Route{}, services: map[string]*Service{}, byKey: map[string]*Customer{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		if t.byHost[r.Host] == nil {
			t.byHost[r.Host] = map[string]*Route{}
		}
		t.byHost[r.Host][r.Prefix] = r
	}
	t.Services = slices.Clone(c.Services)
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Routes {
		t.tighten(&t.Routes[i])
	}
	for i := range t.Customers {
		for _, k := range t.Customers[i].Keys {
			t.byKey[k] = &t.Customers[i]
		}
	}
	return t
}

// tighten notes the pause that a route allows at its services.
func (t *Table) tighten(r *Route) {
	if r.Kind != Stream || r.GapTarget <= 0 {
		return
	}
	for _, share := range r.Shares {
		s := t.services[share.Service]
		if s != nil && (s.TightestPause == 0 || r.GapTarget < s.TightestPause) {
			s.TightestPause = r.GapTarget
		}
	}
}

// Lookup returns the route with the longest prefix of path. The cost depends
// on the depth of the path only, not on the number of routes.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	prefixes := t.byHost[host]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:cut+1]]; ok {
			return r, true
		}
		end = cut
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the customer that holds a key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}
