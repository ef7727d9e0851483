package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// variant is a change of the site's configuration that can be undone.
type variant struct {
	// timeoutMS replaces the timeout of the routes that callers use, unless it is zero.
	timeoutMS int
	// swing is where the swing route leads.
	swing swing
	// withoutExtraKey withdraws the extra key.
	withoutExtraKey bool
	// fillers is the number of routes that nobody uses.
	fillers int
}

// swing is where the swing route leads.
type swing int

// The states of the swing route: to the plain service, by weights, dropped, at another host.
const (
	swingPlain swing = iota
	swingWeighted
	swingDropped
	swingElsewhere
	swingStates
)

const (
	// shortTimeoutMS and longTimeoutMS are the timeouts that replace routeTimeoutMS.
	shortTimeoutMS, longTimeoutMS = 2500, 12_000
	// manyFillers is the number of routes of a large configuration.
	manyFillers = 300
	elsewhere   = "other.example"
)

// drawVariant draws what a change of the configuration sets.
func drawVariant(r *rand.Rand) variant {
	return variant{
		timeoutMS:       []int{0, shortTimeoutMS, longTimeoutMS}[r.IntN(3)],
		swing:           swing(r.IntN(int(swingStates))),
		withoutExtraKey: r.IntN(2) == 0,
		fillers:         []int{0, 0, 0, manyFillers}[r.IntN(4)],
	}
}

// apply returns the configuration with the change.
func (v variant) apply(c storeserver.Site) storeserver.Site {
	c.Routes = slices.Clone(c.Routes)
	if v.timeoutMS > 0 {
		for i := range c.Routes {
			c.Routes[i].TimeoutMS = v.timeoutMS
		}
	}
	if v.swing != swingDropped {
		c.Routes = append(c.Routes, v.swingRoute())
	}
	for i := range v.fillers {
		c.Routes = append(c.Routes, storeserver.Route{
			Name: fmt.Sprint("filler-", i), Host: elsewhere, Prefix: fmt.Sprintf("/filler-%d/", i), Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS,
		})
	}
	if !v.withoutExtraKey {
		c.Keys = append(slices.Clone(c.Keys), extraKey)
	}
	return c
}

func (v variant) swingRoute() storeserver.Route {
	out := storeserver.Route{Name: "swing", Host: host, Prefix: swingPath, Service: plainService, Kind: "safe", TimeoutMS: routeTimeoutMS}
	switch v.swing {
	case swingWeighted:
		out.Split = []storeserver.Share{{Service: plainService, Weight: 1}, {Service: secondService, Weight: 3}}
	case swingElsewhere:
		out.Host = elsewhere
	}
	return out
}

// configSettle is how long a replaced configuration may still be in force.
const configSettle = configDeadline + time.Second

// reconfigure puts a change of the configuration in force in place of the last one.
func (s *site) reconfigure(v variant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOrQueue(func() {
		s.siteConfig.Version += 2
		if v.timeoutMS == shortTimeoutMS {
			s.shorter.begin()
		}
		if s.variant.timeoutMS == shortTimeoutMS {
			time.AfterFunc(configSettle, s.shorter.end)
		}
		s.variant = v
		if err := s.store.PutSite(v.apply(s.siteConfig)); err != nil {
			panic(err)
		}
	})
}
