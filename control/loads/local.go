package loads

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// NewLocal returns a module for an instance without peers.
func NewLocal(now func() time.Duration, draw func() float64) *Loads {
	l := &Loads{
		now: now, scope: tally.NoopScope, log: zap.NewNop(), ledger: spread.NewLedger(), queue: spread.NewQueue(), away: away.NewTable(draw),
		dirty: make(chan struct{}, 1), synced: map[string]bool{}, newestReport: map[string]reportID{},
	}
	l.cell.Count = 1
	return l
}
