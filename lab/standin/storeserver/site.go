package storeserver

import (
	"cmp"
	"time"
)

// Site is a configuration as operators write it.
type Site struct {
	Version int
	Routes  []Route
	// Models and Plain name the model services and the plain services.
	Models, Plain []string
	// EngineMemory is the KV memory of one engine, in tokens.
	EngineMemory int
	// Keys are the API keys of the customer "school". Customers are the names of further ones, whose keys
	// are their names.
	Keys, Customers []string
	// ColdPerSecond is the number of requests per second that a cold server takes, zero for no limit,
	// ColdStart how long a server is cold after its start. They apply to all services.
	ColdPerSecond float64
	ColdStart     time.Duration
	// BodyBytes is the limit of a body in bytes, zero for defaultBodyBytes.
	BodyBytes int
}

const defaultBodyBytes = 1 << 20

// service returns the configuration of a service without its engine.
func (c Site) service(name string) map[string]any {
	spec := map[string]any{"name": name}
	if c.ColdPerSecond > 0 {
		spec["coldPerS"], spec["coldStartS"] = c.ColdPerSecond, c.ColdStart.Seconds()
	}
	return spec
}

// Route is one route of a Site.
type Route struct {
	Name, Host, Prefix, Service string
	// Kind is "safe", "unsafe" or "streaming".
	Kind string
	// TimeoutMS is the timeout of a request.
	TimeoutMS int
	// Split divides the requests between services, by weight; empty sends all to Service.
	Split []Share
}

// Share is the weight of a service on a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// PutSite writes a configuration to the store.
func (s *Server) PutSite(c Site) error {
	var routes, services []any
	for _, r := range c.Routes {
		spec := map[string]any{
			"name": r.Name, "hostname": r.Host, "pathPrefix": r.Prefix, "kind": r.Kind, "service": r.Service, "timeoutMs": r.TimeoutMS,
			"targetLatencyMs": 300, "maxAttempts": 2, "resumable": r.Kind == "streaming", "gapTargetMs": 250,
		}
		if len(r.Split) > 0 {
			spec["trafficSplit"] = r.Split
		}
		routes = append(routes, spec)
	}
	for _, name := range c.Models {
		spec := c.service(name)
		spec["engine"] = map[string]any{
			"slots": 4, "kvCapacity": c.EngineMemory, "step_ms": 0.5, "read_per_s": 1e6, "pairs_per_m": 0.01, "chunk": 2048, "stride": 10,
			"usual": map[string]any{"prompt": 1000, "answer": 100},
		}
		services = append(services, spec)
	}
	for _, name := range c.Plain {
		services = append(services, c.service(name))
	}
	customers := []any{map[string]any{"name": "school", "apiKeys": c.Keys}}
	for _, name := range c.Customers {
		customers = append(customers, map[string]any{"name": name, "apiKeys": []string{name}})
	}
	return s.Put("config", "main", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(c.BodyBytes, defaultBodyBytes), "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": customers,
	})
}

// Entry is the entry by which a backend server registers itself.
type Entry struct {
	ID, Service, Addr, DataCentre string
	Slots                         int
	Leaving                       bool
	// Version is that of the server's software.
	Version string
	// Born is when the server started, not stated if zero, Cold for how long it remains cold, not stated
	// if nil.
	Born time.Time
	Cold *time.Duration
}

// PutEntry writes the entry of a backend server.
func (s *Server) PutEntry(e Entry) error {
	state := "ready"
	if e.Leaving {
		state = "draining"
	}
	spec := map[string]any{"service": e.Service, "address": e.Addr, "zone": e.DataCentre, "slots": e.Slots, "state": state, "version": e.Version}
	if !e.Born.IsZero() {
		spec["born"] = e.Born.UnixMilli()
	}
	if e.Cold != nil {
		spec["coldRemainingMs"] = e.Cold.Milliseconds()
	}
	return s.Put("servers", e.ID, spec)
}

// RemoveEntry removes the entry of a backend server.
func (s *Server) RemoveEntry(id string) { s.Delete("servers", id) }
