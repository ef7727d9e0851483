// Package modules registers all standard modules in a program that imports it.
package modules

import (
	// The modules of an entry instance.
	_ "github.com/auburnmoor/auburnmoor/control/claims"
	_ "github.com/auburnmoor/auburnmoor/control/config"
	_ "github.com/auburnmoor/auburnmoor/control/follow"
	_ "github.com/auburnmoor/auburnmoor/control/limits"
	_ "github.com/auburnmoor/auburnmoor/control/loads"
	_ "github.com/auburnmoor/auburnmoor/control/members"
	_ "github.com/auburnmoor/auburnmoor/control/notices"
	_ "github.com/auburnmoor/auburnmoor/control/orders"
	_ "github.com/auburnmoor/auburnmoor/control/platformapi"
	_ "github.com/auburnmoor/auburnmoor/control/quarantine"
	_ "github.com/auburnmoor/auburnmoor/control/reaper"
	_ "github.com/auburnmoor/auburnmoor/peerlink"
	_ "github.com/auburnmoor/auburnmoor/platform"
	_ "github.com/auburnmoor/auburnmoor/serve/admin"
	_ "github.com/auburnmoor/auburnmoor/serve/api"
	_ "github.com/auburnmoor/auburnmoor/serve/dispatcher"
	_ "github.com/auburnmoor/auburnmoor/serve/enginepoll"
	_ "github.com/auburnmoor/auburnmoor/serve/entries"
	_ "github.com/auburnmoor/auburnmoor/serve/peerproxy"
	_ "github.com/auburnmoor/auburnmoor/serve/relay"
)
