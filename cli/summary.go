package cli

import (
	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/limits"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/control/notices"
	"github.com/auburnmoor/auburnmoor/control/quarantine"
	"github.com/auburnmoor/auburnmoor/serve/dispatcher"
)

// dumpSummary is the part of a state dump that commands read.
type dumpSummary struct {
	Config   config.Dump     `json:"control.config"`
	Members  members.Dump    `json:"control.members"`
	Dispatch dispatcher.Dump `json:"serve.dispatch"`
	// Catalog is nil for instances that do not follow a store.
	Catalog *follow.Dump `json:"control.catalog"`
	Limits  limits.Dump  `json:"control.limits"`
	// Notices lists what backend servers said of themselves.
	Notices notices.Dump `json:"control.notices"`
	// Quarantine lists what is refused because it crashes backend servers.
	Quarantine quarantine.Dump `json:"control.quarantine"`
	// Loads lists the customers with their shares.
	Loads loads.Dump `json:"control.loads"`
}
