package dev

import (
	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/process"
)

// isReady reports whether an instance has a configuration and knows the models
// of at least the given number of engines.
func isReady(p *process.Process, engines int) bool {
	conf, ok := p.Module(config.ID).(*config.Config)
	if !ok || conf.Version() == 0 {
		return false
	}
	mem, ok := p.Module(members.ID).(*members.Members)
	if !ok {
		return false
	}
	known := 0
	for _, e := range mem.View().Engines {
		if e.State != nil && len(e.State.Models) > 0 {
			known++
		}
	}
	return known >= engines
}
