package follow

import (
	"time"

	"go.uber.org/zap"
)

// learnEra takes over an era of the store that a peer knows of.
func (f *Follower) learnEra(era uint64) {
	if era > f.catalog.Era() {
		f.catalog.EraKnown(era)
		f.noteEra()
	}
}

// noteEra acts on an era that is new here: the store came back from an older copy. What
// was confirmed in the last era may be lost, so confirmations count anew; the loops of
// the watches read the whole again by themselves.
func (f *Follower) noteEra() {
	era := f.catalog.Era()
	f.mu.Lock()
	was := f.era
	if era <= was {
		f.mu.Unlock()
		return
	}
	f.era = era
	f.direct = map[string]time.Duration{}
	f.mu.Unlock()
	f.scope.Gauge("store_era").Update(float64(era))
	if was == 0 {
		return
	}
	f.scope.Counter("store_eras_total").Inc(1)
	f.log.Warn("the store came back from an older copy, what it holds is read again", zap.Uint64("era", era), zap.Uint64("was", was),
		zap.Uint64("version", f.version()), zap.Stringer("servers_at", f.serversAt()), zap.Duration("age", f.Age()))
	f.members.EntriesLost()
}
