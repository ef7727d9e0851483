// Package rollout compares the models that engines have loaded with the manifest and
// decides on the orders that reconcile them. It never takes the last ready engine from a
// service, and limits the rate of loads to what the weight store serves.
//
// The package does no I/O and reads no clock.
package rollout

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// Config sets limits on orders.
type Config struct {
	// MaxPerEngine bounds the models on one engine.
	MaxPerEngine int
	// MaxLoads bounds the loads in progress; LoadInterval is the minimum time between their starts.
	MaxLoads     int
	LoadInterval time.Duration
	// LoadTimeout is the time after which an unfinished load may be ordered again.
	LoadTimeout time.Duration
}

// DefaultConfig returns the values that the daemon uses.
func DefaultConfig() Config {
	return Config{MaxPerEngine: 4, MaxLoads: 4, LoadInterval: 100 * time.Millisecond, LoadTimeout: 30 * time.Second}
}

// Engine is the observed state of an engine.
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

// Planner decides on orders and keeps track of the loads in progress.
type Planner struct {
	cfg        Config
	loadStarts map[string]time.Duration
	lastLoad   time.Duration
}

// NewPlanner returns a planner with no loads in progress.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, loadStarts: map[string]time.Duration{}}
}

// Next returns the orders to send now. Every call compares the engines with the manifest,
// so the effect of a late order by a former lease holder is a difference like any other
// and is undone.
func (p *Planner) Next(now time.Duration, m *manifest.Manifest, engines []Engine) []Step {
	want := Assign(m, engines, p.cfg.MaxPerEngine)
	var out []Step
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		out = append(out, p.planLoads(now, e, want[e.Name])...)
		out = append(out, p.planUnloads(e, want[e.Name], engines, m)...)
		if role := roleOf(m, e.Name); e.Role != "" && e.Role != role {
			out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderRole, Target: role}})
		}
	}
	return out
}

// roleOf returns the role that the manifest gives an engine, "any" if it gives none.
func roleOf(m *manifest.Manifest, name string) string {
	for _, r := range m.Roles {
		if r.Engine == name {
			return r.Role
		}
	}
	return "any"
}

// planLoads orders the missing models of an engine, within the limits on loads.
func (p *Planner) planLoads(now time.Duration, e Engine, want []string) []Step {
	var out []Step
	for _, model := range want {
		key := e.Name + "/" + model
		if slices.Contains(e.Models, model) {
			delete(p.loadStarts, key)
			continue
		}
		if at, ok := p.loadStarts[key]; ok && now-at < p.cfg.LoadTimeout {
			continue
		}
		if p.loadsInProgress(now) >= p.cfg.MaxLoads || (p.lastLoad > 0 && now-p.lastLoad < p.cfg.LoadInterval) {
			continue
		}
		p.loadStarts[key], p.lastLoad = now, now
		out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderLoad, Target: model}})
	}
	return out
}

func (p *Planner) loadsInProgress(now time.Duration) int {
	n := 0
	for _, at := range p.loadStarts {
		if now-at < p.cfg.LoadTimeout {
			n++
		}
	}
	return n
}

// planUnloads removes models that are not wanted on an engine, once every service has its
// model ready on all engines assigned to it.
func (p *Planner) planUnloads(e Engine, want []string, engines []Engine, m *manifest.Manifest) []Step {
	var out []Step
	for _, model := range e.Models {
		if slices.Contains(want, model) || !allLoaded(m, engines, p.cfg.MaxPerEngine) {
			continue
		}
		out = append(out, Step{Engine: e.Name, Order: engine.Order{Kind: engine.OrderUnload, Target: model}})
	}
	return out
}

// allLoaded reports whether every engine has loaded the models assigned to it.
func allLoaded(m *manifest.Manifest, engines []Engine, perEngine int) bool {
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

// Assign distributes the models of the manifest over the engines. With at most perEngine
// models every engine gets all; with more, each gets perEngine of them in round-robin
// order, so that the models are spread evenly.
func Assign(m *manifest.Manifest, engines []Engine, perEngine int) map[string][]string {
	models := wantedModels(m)
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

func wantedModels(m *manifest.Manifest) []string {
	var out []string
	for _, s := range m.Services {
		if s.Type == manifest.Model && !slices.Contains(out, s.WeightsName()) {
			out = append(out, s.WeightsName())
		}
	}
	slices.Sort(out)
	return out
}
