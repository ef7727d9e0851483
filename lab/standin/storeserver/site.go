package storeserver

// Site is a configuration as operators write it.
type Site struct {
	Version int
	Routes  []Route
	// Models and Plain name the model services and the plain services.
	Models, Plain []string
	// EngineMemory is the KV memory of one engine, in tokens.
	EngineMemory int
	// Keys are the API keys of the only customer.
	Keys []string
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
		services = append(services, map[string]any{"name": name, "engine": map[string]any{
			"slots": 4, "kvCapacity": c.EngineMemory, "step_ms": 0.5, "read_per_s": 1e6, "pairs_per_m": 0.01, "chunk": 2048, "stride": 10,
			"usual": map[string]any{"prompt": 1000, "answer": 100},
		}})
	}
	for _, name := range c.Plain {
		services = append(services, map[string]any{"name": name})
	}
	return s.Put("config", "main", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "school", "apiKeys": c.Keys}},
	})
}

// Entry is the entry by which a backend server registers itself.
type Entry struct {
	ID, Service, Addr, DataCentre string
	Slots                         int
	Leaving                       bool
	// Version is that of the server's software.
	Version string
}

// PutEntry writes the entry of a backend server.
func (s *Server) PutEntry(e Entry) error {
	state := "ready"
	if e.Leaving {
		state = "draining"
	}
	return s.Put("servers", e.ID, map[string]any{"service": e.Service, "address": e.Addr, "zone": e.DataCentre, "slots": e.Slots, "state": state, "version": e.Version})
}

// RemoveEntry removes the entry of a backend server.
func (s *Server) RemoveEntry(id string) { s.Delete("servers", id) }
