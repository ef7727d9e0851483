package follow

import (
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/watch"
)

// learnEra handles a store era reported by a peer.
func (f *Follower) learnEra(era uint64) {
	if era > f.catalog.Era() {
		f.catalog.ObserveEra(era)
		f.handleNewEra()
	}
}

// handleNewEra reacts to a new era, in which the store was restored from an older copy.
// Data confirmed in the previous era may be lost, so confirmations start over. The watch
// loops read the full state again by themselves.
func (f *Follower) handleNewEra() {
	era := f.catalog.Era()
	f.mu.Lock()
	previous := f.era
	if era <= previous {
		f.mu.Unlock()
		return
	}
	f.era = era
	f.answeredAt = watch.Times{}
	f.mu.Unlock()
	f.scope.Gauge("store_era").Update(float64(era))
	if previous == 0 {
		return
	}
	f.scope.Counter("store_eras_total").Inc(1)
	f.log.Warn("the store was restored from an older copy, reading its full state again", zap.Uint64("era", era), zap.Uint64("was", previous),
		zap.Uint64("version", f.version()), zap.Stringer("servers_at", f.serversAt()), zap.Duration("age", f.ConfirmationAge()))
	f.members.EntriesLost()
}
