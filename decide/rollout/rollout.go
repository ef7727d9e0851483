// Package rollout compares what engines have loaded with what the manifest
// wants and decides the orders that bring them into line. It never takes the
// last ready engine from a service, and keeps loads within the weight store's
// rate.
//
// The package does no I/O and reads no clock.
package rollout

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// Config limits orders.
type Config struct {
	// MaxPerEngine bounds the models on one engine.
	MaxPerEngine int
	// Loads bounds the loads under way, LoadEvery spaces their starts.
	Loads     int
	LoadEvery time.Duration
	// LoadTimeout is when a load that did not finish may be ordered again.
	LoadTimeout time.Duration
}

// DefaultConfig returns the values of the daemon.
func DefaultConfig() Config {
	return Config{MaxPerEngine: 4, Loads: 4, LoadEvery: 100 * time.Millisecond, LoadTimeout: 30 * time.Second}
}

// Engine is what is known of an engine.
type Engine struct {
	Name    string
	Models  []string
	Role    string
	Leaving bool
}

// Step is one order to one engine.
type Step struct {
	Engine string
	Order  engine.Order
}

// Planner remembers the loads under way.
type Planner struct {
	cfg      Config
	loading  map[string]time.Duration
	lastLoad time.Duration
}

// NewPlanner returns a planner without memory.
func NewPlanner(cfg Config) *Planner { return &Planner{cfg: cfg, loading: map[string]time.Duration{}} }

// Next returns the orders to give now. Engines are compared with the manifest
// at every call, for ever: a stray order of a former holder shows as a
// difference and is undone like any other.
func (p *Planner) Next(now time.Duration, m *manifest.Manifest, engines []Engine) []Step {
	want := Assign(m, engines, p.cfg.MaxPerEngine)
	var out []Step
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		out = append(out, p.loads(now, e, want[e.Name])...)
		out = append(out, p.unloads(e, want[e.Name], engines, m)...)
		if role := roleOf(m, e.Name); e.Role != "" && e.Role != role {
			out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderRole, Target: role}})
		}
	}
	return out
}

func roleOf(m *manifest.Manifest, name string) string {
	for _, r := range m.Roles {
		if r.Engine == name {
			return r.Role
		}
	}
	return "any"
}

func (p *Planner) loads(now time.Duration, e Engine, want []string) []Step {
	var out []Step
	for _, model := range want {
		key := e.Name + "/" + model
		if slices.Contains(e.Models, model) {
			delete(p.loading, key)
			continue
		}
		if at, ok := p.loading[key]; ok && now-at < p.cfg.LoadTimeout {
			continue
		}
		if p.underWay(now) >= p.cfg.Loads || (p.lastLoad > 0 && now-p.lastLoad < p.cfg.LoadEvery) {
			continue
		}
		p.loading[key], p.lastLoad = now, now
		out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderLoad, Target: model}})
	}
	return out
}

func (p *Planner) underWay(now time.Duration) int {
	n := 0
	for _, at := range p.loading {
		if now-at < p.cfg.LoadTimeout {
			n++
		}
	}
	return n
}

// unloads removes models that no service wants, once every service has its
// wanted model ready on as many engines as the plan gives it.
func (p *Planner) unloads(e Engine, want []string, engines []Engine, m *manifest.Manifest) []Step {
	var out []Step
	for _, model := range e.Models {
		if slices.Contains(want, model) || !settled(m, engines, p.cfg.MaxPerEngine) {
			continue
		}
		out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderUnload, Target: model}})
	}
	return out
}

// settled reports whether every engine that should have a wanted model has it.
func settled(m *manifest.Manifest, engines []Engine, perEngine int) bool {
	want := Assign(m, engines, perEngine)
	for _, e := range engines {
		for _, model := range want[e.Name] {
			if !e.Leaving && !slices.Contains(e.Models, model) {
				return false
			}
		}
	}
	return true
}

// Assign divides the models that the manifest wants over the engines. With few
// models every engine gets all; with more, each engine gets perEngine of them
// in turn, so that every model has an even number of engines.
func Assign(m *manifest.Manifest, engines []Engine, perEngine int) map[string][]string {
	models := wanted(m)
	out := map[string][]string{}
	next := 0
	for _, e := range engines {
		if e.Leaving || len(models) == 0 {
			continue
		}
		for range min(perEngine, len(models)) {
			out[e.Name] = append(out[e.Name], models[next%len(models)])
			next++
		}
	}
	return out
}

func wanted(m *manifest.Manifest) []string {
	var out []string
	for _, s := range m.Services {
		if s.Type == manifest.Model && !slices.Contains(out, s.Loaded()) {
			out = append(out, s.Loaded())
		}
	}
	slices.Sort(out)
	return out
}
