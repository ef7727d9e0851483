package follow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

func (f *Follower) followServers(ctx context.Context) {
	f.follow(ctx, source{
		name: whatServers,
		held: func() (position.Position, bool) { return f.serversAt(), f.Servers() != nil },
		read: func(ctx context.Context, staleOK bool) (position.Position, error) {
			l, err := f.catalog.Servers(ctx, staleOK)
			if err != nil {
				return position.Position{}, err
			}
			f.takeServers(l)
			return l.At, nil
		},
		watch: func(ctx context.Context, after position.Position, wait time.Duration) (position.Position, error) {
			l, err := f.catalog.WatchServers(ctx, after, wait)
			if err != nil {
				return position.Position{}, err
			}
			f.takeChanges(l)
			return l.At, nil
		},
	})
}

// takeServers takes over the whole list as the store tells it.
func (f *Follower) takeServers(l catalog.Servers) {
	before := f.Servers()
	changed := f.update("store", func(now time.Duration) bool {
		f.noteUnreadable(func(string) bool { return true }, l.Unreadable)
		return f.set.Replace(now, l.Servers, l.At)
	})
	if before != nil && (changed || before.At.Era < l.At.Era) {
		f.passServers(f.members.Standing().FirstTargets(), wholeList(f.Servers(), f.Age()))
	}
}

// takeChanges takes over what the store tells of changes.
func (f *Follower) takeChanges(l catalog.ServerChanges) {
	if len(l.Changes) == 0 {
		return
	}
	before := f.Servers()
	changed := f.update("store", func(now time.Duration) bool {
		f.noteUnreadable(changedIn(l.Changes), l.Unreadable)
		return f.set.Apply(now, l.Changes, l.At)
	})
	if changed {
		f.passServers(f.members.Standing().FirstTargets(), changedList(before, l))
	}
}

// changedIn reports whether an entry is among changes.
func changedIn(changes []backends.Change) func(id string) bool {
	return func(id string) bool {
		return slices.ContainsFunc(changes, func(c backends.Change) bool { return c.ID == id })
	}
}

// update changes the list of servers, publishes it, and reports whether its content
// changed. Several instances tell of one change, each up to a revision of its own.
func (f *Follower) update(from string, change func(now time.Duration) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !change(f.now()) {
		return false
	}
	snap, before := f.set.Snapshot(), f.servers.Load()
	f.servers.Store(snap)
	if before != nil && before.Digest == snap.Digest {
		return false
	}
	f.log.Info("backend servers changed", zap.String("from", from), zap.Stringer("at", snap.At), zap.Int("servers", snap.Len()))
	f.changed()
	return true
}

// nothingHeld is before any position.
var nothingHeld = position.Position{Revision: -1}

// serversAt is the position of the list held.
func (f *Follower) serversAt() position.Position {
	if s := f.Servers(); s != nil {
		return s.At
	}
	return nothingHeld
}

// settle ends what held for a while after the store came back from a copy.
func (f *Follower) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.set.EndGracePeriods(f.now()) {
		return
	}
	snap := f.set.Snapshot()
	f.servers.Store(snap)
	f.log.Info("backend servers settled after the store lost writes", zap.Stringer("at", snap.At), zap.Int("servers", snap.Len()))
}

// passServers sends a list, or changes, to peers.
func (f *Follower) passServers(to []string, r *peerpb.ServersReply) {
	for _, peer := range to {
		f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ServersReply{ServersReply: r}})
	}
}

// adoptServers takes over a peer's list, or its changes, if they are newer than what is
// held, and passes them on in turn. Changes that do not follow on what is held are not
// taken over: the whole list is asked for. Changes that go back further than what is
// held lead to the same list, since each tells the last state of a server.
func (f *Follower) adoptServers(from string, r *peerpb.ServersReply) {
	held := f.Servers()
	at := position.Position{Era: r.Era, Revision: r.Revision}
	if held != nil && !held.At.Before(at) {
		return
	}
	f.learnEra(r.Era)
	if r.Changes && !follows(held, r) {
		f.scope.Counter("servers_gaps_total").Inc(1)
		f.askForServers(from)
		return
	}
	taken := f.update(from, func(now time.Duration) bool {
		if r.Changes {
			return f.set.Apply(now, changesOf(r), at)
		}
		return f.set.Replace(now, serversOf(r), at)
	})
	if held != nil && (taken || held.At.Era < at.Era) {
		f.passServers(f.members.Standing().Children(), r)
	}
}

// follows reports whether changes lead on from what is held. Those of a later era than
// that of what is held do only if the content is the same.
func follows(held *backends.Snapshot, r *peerpb.ServersReply) bool {
	if held == nil {
		return false
	}
	after := position.Position{Era: r.AfterEra, Revision: r.After}
	if held.Digest == r.AfterDigest {
		return held.At.Era == r.Era
	}
	return held.At.Era == r.Era && after.Era == r.Era && !held.At.Before(after)
}

func wholeList(snap *backends.Snapshot, age time.Duration) *peerpb.ServersReply {
	out := &peerpb.ServersReply{Revision: snap.At.Revision, Era: snap.At.Era, AgeUs: age.Microseconds()}
	for _, s := range snap.All() {
		out.Servers = append(out.Servers, listed(s))
	}
	return out
}

func changedList(before *backends.Snapshot, l catalog.ServerChanges) *peerpb.ServersReply {
	out := &peerpb.ServersReply{
		Revision: l.At.Revision, Era: l.At.Era, Changes: true, After: before.At.Revision, AfterEra: before.At.Era, AfterDigest: before.Digest,
	}
	for _, c := range l.Changes {
		if c.Server == nil {
			out.Gone = append(out.Gone, c.ID)
		} else {
			out.Servers = append(out.Servers, listed(*c.Server))
		}
	}
	return out
}

func changesOf(r *peerpb.ServersReply) []backends.Change {
	var out []backends.Change
	for _, id := range r.Gone {
		out = append(out, backends.Change{ID: id})
	}
	for _, s := range serversOf(r) {
		out = append(out, backends.Change{ID: s.ID, Server: &s})
	}
	return out
}

func serversOf(r *peerpb.ServersReply) []backends.Server {
	var out []backends.Server
	for _, s := range r.Servers {
		out = append(out, backends.Server{
			ID: s.Id, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int(s.Slots), Leaving: s.Leaving, Life: backends.Life(s.Life),
		})
	}
	return out
}

func listed(s backends.Server) *peerpb.ListedServer {
	return &peerpb.ListedServer{
		Id: s.ID, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int64(s.Slots), Leaving: s.Leaving, Life: int64(s.Life),
	}
}
