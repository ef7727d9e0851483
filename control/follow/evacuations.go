package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/set"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

func (f *Follower) followEvacuations(ctx context.Context) {
	f.follow(ctx, source{
		id:   watch.Evacuations,
		held: f.evacuationsAt,
		// A stale state is never read: if all instances start at once, none could tell the others of an
		// evacuation that a stale state lacks.
		read: func(ctx context.Context, _ bool) (position.Position, error) {
			e, err := f.catalog.Evacuations(ctx, false)
			if err != nil {
				return position.Position{}, err
			}
			if e.AtLeast {
				e.At = f.positionOfNewer(e)
			}
			f.applyStoreEvacuations(e)
			return e.At, nil
		},
		watch: func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error) {
			c, err := f.catalog.WatchEvacuations(ctx, after, wait)
			if applicable(err, len(c.Changes)) {
				f.applyStoreEvacuations(f.withEvacuationChanges(c))
			}
			return c.At, err
		},
	})
}

// positionOfNewer returns the position of a state whose own cannot be read, and that was asked for after the local one
// was known: if it differs from that, it is of a later revision.
func (f *Follower) positionOfNewer(e catalog.Evacuations) position.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations == nil || f.evacuations.At.Era < e.At.Era {
		return e.At
	}
	at := f.evacuations.At
	if !slices.Equal(f.evacuations.DataCentres, e.DataCentres) {
		at.Revision++
	}
	return position.Later(e.At, at)
}

// evacuationsAt returns the position of the newest known state, and whether there is any.
func (f *Follower) evacuationsAt() (position.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations == nil {
		return noPosition, false
	}
	return f.evacuations.At, true
}

// withEvacuationChanges returns the state after changes. Changes that the local state already
// contains are idempotent, since they carry the last state of a data centre.
func (f *Follower) withEvacuationChanges(c catalog.EvacuationChanges) catalog.Evacuations {
	f.mu.Lock()
	defer f.mu.Unlock()
	evacuated := map[string]bool{}
	if f.evacuations != nil {
		evacuated = set.Of(f.evacuations.DataCentres)
	}
	for _, change := range c.Changes {
		if change.Evacuated {
			evacuated[change.DataCentre] = true
		} else {
			delete(evacuated, change.DataCentre)
		}
	}
	return catalog.Evacuations{DataCentres: slices.Sorted(maps.Keys(evacuated)), At: c.At}
}

// applyStoreEvacuations adopts a state from the store and informs the other instances of
// changes.
func (f *Follower) applyStoreEvacuations(e catalog.Evacuations) {
	if f.setEvacuations("store", e) {
		f.sendEvacuations(f.members.Standing().FirstTargets())
		f.members.GossipNow()
	}
}

// adoptEvacuations adopts a state from a peer, which may be nil, and forwards changes.
func (f *Follower) adoptEvacuations(from string, e *peerpb.Evacuations) {
	if e == nil {
		return
	}
	f.learnEra(e.Era)
	if f.setEvacuations(from, catalog.Evacuations{DataCentres: e.DataCentres, At: position.Position{Era: e.Era, Revision: e.Revision}}) {
		f.sendEvacuations(f.members.Standing().Children())
	}
}

// setEvacuations adopts a state if it is newer than the local one, and reports whether it
// evacuates other data centres.
func (f *Follower) setEvacuations(from string, e catalog.Evacuations) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.evacuations
	if previous != nil && !previous.At.Before(e.At) {
		return false
	}
	f.evacuations = &e
	f.evacuatedSince = evacuationTimes(e.DataCentres, f.evacuatedSince, f.now())
	// The servers must be out of use before the instance serves requests.
	defer f.updateServing()
	defer f.evacuationsKnown.Store(true)
	f.serverSet.SetEvacuated(f.now(), e.DataCentres, previous != nil && previous.At.Era < e.At.Era)
	f.noteGracePeriods()
	if previous == nil && len(e.DataCentres) == 0 || previous != nil && slices.Equal(previous.DataCentres, e.DataCentres) {
		return false
	}
	if f.servers.Load() != nil {
		f.publishServers()
	}
	f.log.Info("evacuated data centres changed", zap.String("from", from), zap.Stringer("at", e.At), zap.Strings("data_centres", e.DataCentres))
	return true
}

func (f *Follower) sendEvacuations(to []string) {
	msg := f.evacuationsMessage()
	for _, peer := range to {
		f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_Evacuations{Evacuations: msg}})
	}
}

// evacuationsMessage returns the newest known state, or nil if there is none.
func (f *Follower) evacuationsMessage() *peerpb.Evacuations {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations == nil {
		return nil
	}
	return &peerpb.Evacuations{Era: f.evacuations.At.Era, Revision: f.evacuations.At.Revision, DataCentres: f.evacuations.DataCentres}
}

// evacuationTimes returns when this instance first knew of each evacuation in force, given the earlier ones.
func evacuationTimes(dataCentres []string, before map[string]time.Duration, now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, name := range dataCentres {
		out[name] = now
		if at, known := before[name]; known {
			out[name] = at
		}
	}
	return out
}

// DumpEvacuated is an evacuated data centre.
type DumpEvacuated struct {
	DataCentre string `json:"data_centre"`
	// AgeMS is the time since the instance first knew of the evacuation.
	AgeMS int64 `json:"age_ms"`
}

// dumpEvacuated returns the evacuated data centres, sorted by name. The caller holds f.mu.
func (f *Follower) dumpEvacuated(now time.Duration) (out []DumpEvacuated) {
	for _, name := range slices.Sorted(maps.Keys(f.evacuatedSince)) {
		out = append(out, DumpEvacuated{DataCentre: name, AgeMS: (now - f.evacuatedSince[name]).Milliseconds()})
	}
	return out
}
