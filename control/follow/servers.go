package follow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

func (f *Follower) followServers(ctx context.Context) {
	f.follow(ctx, source{
		id:   watch.Servers,
		held: func() (position.Position, bool) { return f.serversAt(), f.Servers() != nil },
		read: func(ctx context.Context, staleOK bool) (position.Position, error) {
			l, err := f.catalog.Servers(ctx, staleOK)
			if err != nil {
				return position.Position{}, err
			}
			if l.AtLeast && !staleOK {
				// It was asked for after the local list was known.
				l.At = position.Later(l.At, f.serversAt())
			}
			l.At = positionOf(l.At, staleOK)
			f.applyServerList(l)
			return l.At, nil
		},
		watch: func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error) {
			l, err := f.catalog.WatchServers(ctx, after, wait)
			if applicable(err, len(l.Changes)) {
				f.applyServerChanges(l)
			}
			return l.At, err
		},
	})
}

// applyServerList applies the full list of servers from the store.
func (f *Follower) applyServerList(l catalog.Servers) {
	u := f.updateServers("store", func(now time.Duration) bool {
		f.updateUnreadable(func(string) bool { return true }, l.Unreadable)
		return f.serverSet.Replace(now, l.Servers, l.At)
	})
	if u.before != nil && (u.changed || u.after != nil && u.before.At.Era < u.after.At.Era) {
		f.sendServers(f.members.Standing().FirstTargets(), f.fullReply(u.after))
	}
}

// applyServerChanges applies changes of the list from the store.
func (f *Follower) applyServerChanges(l catalog.ServerChanges) {
	if len(l.Changes) == 0 {
		f.advanceServers(l.At)
		return
	}
	u := f.updateServers("store", func(now time.Duration) bool {
		f.updateUnreadable(inChanges(l.Changes), l.Unreadable)
		return f.serverSet.Apply(now, l.Changes, l.At)
	})
	if u.changed {
		f.sendServers(f.members.Standing().FirstTargets(), f.deltaReply(u.after, u.after.DeltaSince(u.before, l.Changes)))
	}
}

// advanceServers records that the local list is that of a later position too: an instance that holds
// another one there learns of it.
func (f *Follower) advanceServers(at position.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.servers.Load(); held != nil && f.serverSet.Advance(at) {
		f.servers.Store(held.AdvancedTo(at))
		f.verification.history.Advance(at)
	}
}

// inChanges returns a function that reports whether an entry is among changes.
func inChanges(changes []backends.Change) func(id string) bool {
	return func(id string) bool {
		return slices.ContainsFunc(changes, func(c backends.Change) bool { return c.ID == id })
	}
}

// serversUpdate is what an update of the list of servers did.
type serversUpdate struct {
	// before and after are the snapshots around it; before is nil for the first list, after if nothing was
	// adopted.
	before, after *backends.Snapshot
	// changed is set if the content changed, or the end of a server's cold time, which is no part of it.
	changed bool
}

// updateServers applies a change to the list of servers and publishes a snapshot. A change need not alter
// the content: several instances forward the same one, each with its own revision.
func (f *Follower) updateServers(from string, change func(now time.Duration) bool) serversUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := serversUpdate{before: f.servers.Load()}
	if !change(f.now()) {
		return u
	}
	f.noteGracePeriods()
	u.after = f.publishServers()
	f.lag.moveOn(f.now())
	f.verification.history.Record(u.after)
	u.changed = f.coldTimesChanged(u.after)
	if u.before != nil && u.before.Digest == u.after.Digest {
		return u
	}
	u.changed = true
	f.logServers(from, u.before, u.after)
	f.updateServing()
	return u
}

// MarkLeaving takes a life of a server that said that it leaves out of use, whatever the list says.
func (f *Follower) MarkLeaving(id string, life backends.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.serverSet.MarkLeaving(f.now(), id, life) {
		f.publishServers()
	}
}

// publishServers publishes the present list of servers. The caller holds f.mu.
func (f *Follower) publishServers() *backends.Snapshot {
	snap := f.serverSet.Snapshot()
	f.servers.Store(snap)
	return snap
}

// noPosition is before every position of a store.
var noPosition = position.Position{Revision: -1}

// serversAt is the store position of the local list.
func (f *Follower) serversAt() position.Position {
	if s := f.Servers(); s != nil {
		return s.At
	}
	return noPosition
}

// endGracePeriods ends the grace periods of servers that begin when the store was restored
// from an older copy.
func (f *Follower) endGracePeriods(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.graceBegan:
		}
		for f.updateGracePeriods() && wait.For(ctx, graceCheckInterval) {
		}
	}
}

// updateGracePeriods ends the grace periods that have expired and reports whether others remain.
func (f *Follower) updateGracePeriods() (remain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.serverSet.EndGracePeriods(f.now()) {
		snap := f.publishServers()
		f.log.Info("grace period of backend servers ended after the store lost writes", zap.Stringer("at", snap.At), zap.Int("servers", snap.Len()))
	}
	return f.serverSet.InGracePeriod()
}

// noteGracePeriods signals that grace periods may have begun. The caller holds f.mu.
func (f *Follower) noteGracePeriods() {
	if f.serverSet.InGracePeriod() {
		wake(f.graceBegan)
	}
}

// sendServers sends a list or changes to peers.
func (f *Follower) sendServers(to []string, r *peerpb.ServersReply) {
	for _, peer := range to {
		f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ServersReply{ServersReply: r}})
	}
}

// adoptServers applies a peer's list or changes if they are newer than the local list, and
// forwards them. If there is a gap between the local list and the changes, it requests the
// full list instead. An instance that watches the store learns of changes itself: it does not
// take over a peer's list, which may be wrong, unless that was verified.
func (f *Follower) adoptServers(from string, r *peerpb.ServersReply) {
	f.learnEra(r.Era)
	held := f.Servers()
	switch at := positionOfReply(r); {
	case held != nil && (at.Before(held.At) || at == held.At && !r.Verified):
	case r.Changes:
		f.adoptDelta(from, r)
	case r.Verified:
		f.forwardServers(r, f.applyVerified(from, catalog.Servers{Servers: serversFromReply(r), At: at}))
	case held == nil || held.At.Era < at.Era || !f.watchIsCurrent():
		f.forwardServers(r, f.updateServers(from, func(now time.Duration) bool {
			return f.servers.Load().Precedes(at) && f.serverSet.Replace(now, serversFromReply(r), at)
		}))
	}
}

// adoptDelta applies a peer's changes.
func (f *Follower) adoptDelta(from string, r *peerpb.ServersReply) {
	gap, d := false, deltaFromReply(r)
	f.compareServers(from, d.After, d.AfterDigest)
	u := f.updateServers(from, func(now time.Duration) bool {
		held := f.servers.Load()
		if !held.Precedes(d.At) {
			return false
		}
		if gap = !held.FollowedBy(d); gap {
			return false
		}
		return f.serverSet.Apply(now, d.Changes, d.At)
	})
	if gap {
		f.scope.Counter("servers_gaps_total").Inc(1)
		if !f.watchIsCurrent() {
			f.requestServers(from)
		}
		return
	}
	f.forwardServers(r, u)
}

// forwardServers forwards a peer's list or changes if they changed the local list.
func (f *Follower) forwardServers(r *peerpb.ServersReply, u serversUpdate) {
	if u.before != nil && u.after != nil && (u.changed || u.before.At.Era < u.after.At.Era) {
		f.sendServers(f.members.Standing().Children(), r)
	}
}

func positionOfReply(r *peerpb.ServersReply) position.Position {
	return position.Position{Era: r.Era, Revision: r.Revision}
}

func (f *Follower) fullReply(snap *backends.Snapshot) *peerpb.ServersReply {
	out := &peerpb.ServersReply{Revision: snap.At.Revision, Era: snap.At.Era, AgeUs: f.ConfirmationAge().Microseconds()}
	for _, s := range snap.All() {
		out.Servers = append(out.Servers, f.toListedServer(snap, s))
	}
	return out
}

func (f *Follower) deltaReply(snap *backends.Snapshot, d backends.Delta) *peerpb.ServersReply {
	out := &peerpb.ServersReply{
		Revision: d.At.Revision, Era: d.At.Era, Changes: true, After: d.After.Revision, AfterEra: d.After.Era, AfterDigest: d.AfterDigest,
	}
	for _, c := range d.Changes {
		if c.Server == nil {
			out.Gone = append(out.Gone, c.ID)
		} else {
			out.Servers = append(out.Servers, f.toListedServer(snap, *c.Server))
		}
	}
	return out
}

func deltaFromReply(r *peerpb.ServersReply) backends.Delta {
	out := backends.Delta{
		After: position.Position{Era: r.AfterEra, Revision: r.After}, AfterDigest: r.AfterDigest, At: positionOfReply(r),
	}
	for _, id := range r.Gone {
		out.Changes = append(out.Changes, backends.Change{ID: id})
	}
	for _, s := range serversFromReply(r) {
		out.Changes = append(out.Changes, backends.Change{ID: s.ID, Server: &s})
	}
	return out
}

func serversFromReply(r *peerpb.ServersReply) []backends.Server {
	var out []backends.Server
	for _, s := range r.Servers {
		out = append(out, backends.Server{
			ID: s.Id, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int(s.Slots), Leaving: s.Leaving, LeftEarlier: s.LeftEarlier, Life: backends.Life(s.Life), Version: s.Version,
			Cold: coldTimeFrom(s.ColdMs, s.ColdEra, s.ColdRevision),
		})
	}
	return out
}

func (f *Follower) toListedServer(snap *backends.Snapshot, s backends.Server) *peerpb.ListedServer {
	coldMS, at := f.coldTimeForPeers(snap, s)
	return &peerpb.ListedServer{
		Id: s.ID, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int64(s.Slots), Leaving: s.EntryLeaving(), LeftEarlier: s.LeftEarlier,
		Life: int64(s.Life), Version: s.Version, ColdMs: coldMS, ColdEra: at.Era, ColdRevision: at.Revision,
	}
}
