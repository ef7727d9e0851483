package quarantine

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
)

// NewLocal returns a module for an instance without peers.
func NewLocal(now func() time.Duration) *Quarantine {
	return &Quarantine{
		now: now, log: zap.NewNop(), scope: tally.NoopScope, table: poison.NewTable(), parts: blame.NewTable(blame.Options{Self: 1}),
		names: partNames{}, runs: map[*Run]bool{}, refused: map[blame.Key]bool{},
		changed: make(chan struct{}, 1), crashed: make(chan struct{}, 1),
	}
}
