// Package route holds one version of the operators' configuration and looks up the route,
// service and customer of a request. A Table is immutable, so any number of goroutines may
// read it.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind classifies requests by whether they may be retried and how they are answered.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = iota
	// Once requests are executed at most once per client attempt.
	Once
	// Stream requests are answered by a sequence of numbered events.
	Stream
)

// String returns the name of the kind in logs and metrics.
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

// Share is the weight of a service among those that a route's requests are split over.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route is the configuration of the requests to one host under one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares has at least one entry.
	Shares []Share
	// Timeout bounds the time that a request may wait for its answer.
	Timeout time.Duration
	// FirstEventTarget is the latency up to which the first event of a stream, or any other
	// complete answer, has its full value to the caller.
	FirstEventTarget time.Duration
	// GapTarget is the longest gap between two events of a stream that does not reduce
	// their value to the caller.
	GapTarget time.Duration
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds how many times one client attempt is sent to a backend server.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be resumed on another backend server.
	Resumable bool
}

// Repeatable reports whether a request whose outcome is unknown may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick chooses a random service by weight.
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

// Engine is the performance model of a service's engines.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of an engine's KV cache in tokens.
	KVCacheTokens int64
	// Step is the base duration of a decode step.
	Step time.Duration
	// StepPerSequence is added to a step for each decoding request.
	StepPerSequence time.Duration
	// StepPerThousandTokens is added to a step per 1,000 tokens of context.
	StepPerThousandTokens time.Duration
	// PrefillTokensPerSecond is the prefill speed in prompt tokens per second.
	PrefillTokensPerSecond float64
	// TimePerMillionPairs is the attention cost of prefill: the time added per million pairs
	// of a token and an earlier one.
	TimePerMillionPairs time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in a step.
	PrefillChunk int64
	// StepsPerPass is the number of steps in a pass with decoding requests.
	StepsPerPass int
	// MeanAnswerTokens is the mean number of tokens in an answer.
	MeanAnswerTokens int64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdRate is the number of requests per second that a cold server may get from all instances
	// together; zero sets no limit.
	ColdRate float64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
	// MinGapTarget is the shortest GapTarget of the stream routes to the service; zero
	// if there are none. NewTable sets it.
	MinGapTarget time.Duration
}

// Customer is an organization whose requests carry one of its API keys.
type Customer struct {
	Name string
	Keys []string
	// Rank replaces the rank of the route when HasRank is set.
	Rank    int
	HasRank bool
}

// Config is the content of one version of the configuration.
type Config struct {
	// Version increases with every change, not always by one.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Limits bounds the size and the duration of client requests. A zero field sets no bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time to receive the headers of a request, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is an index of one version of the configuration.
type Table struct {
	Config
	byHost   map[string]map[string]*Route
	services map[string]*Service
	byKey    map[string]*Customer
}

// NewTable builds the table of a version.
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
		t.updateMinGapTarget(&t.Routes[i])
	}
	for i := range t.Customers {
		for _, k := range t.Customers[i].Keys {
			t.byKey[k] = &t.Customers[i]
		}
	}
	return t
}

// updateMinGapTarget applies the gap target of a stream route to its services.
func (t *Table) updateMinGapTarget(r *Route) {
	if r.Kind != Stream || r.GapTarget <= 0 {
		return
	}
	for _, share := range r.Shares {
		s := t.services[share.Service]
		if s != nil && (s.MinGapTarget == 0 || r.GapTarget < s.MinGapTarget) {
			s.MinGapTarget = r.GapTarget
		}
	}
}

// Lookup returns the route with the longest matching prefix of path. Its cost depends on
// the depth of the path, not on the number of routes.
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

// Customer returns the customer that owns an API key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}
