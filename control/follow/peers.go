package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

const (
	// askPeerAfter is the time that the store and the instances that watch it get to
	// tell of what a peer has already, before the peer is asked for it.
	askPeerAfter = 300 * time.Millisecond
	// mostTold bounds the instances that watch of which one message tells.
	mostTold = 8
	// askServersEvery is how often a peer is asked for the list of servers while
	// this instance holds none.
	askServersEvery = 500 * time.Millisecond
)

// offer is something newer that a peer holds.
type offer struct {
	peer    string
	config  configID
	servers position.Position
	digest  uint64
}

// tell adds to a round of gossip what this instance holds and knows of those that watch.
func (f *Follower) tell(g *peerpb.Gossip) {
	g.StoreEra = f.catalog.Era()
	id := f.configID()
	g.ConfigVersion, g.ConfigEra, g.ConfigDigest = id.version, id.era, id.digest
	if s := f.Servers(); s != nil {
		g.ServersRevision, g.ServersEra, g.ServersDigest = s.At.Revision, s.At.Era, s.Digest
	}
	if f.replaced() {
		// The confirmations are of something newer than what is held here; whoever holds
		// the same would take them for its own.
		return
	}
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.news.Newest(now, mostTold) {
		g.Confirmed = append(g.Confirmed, &peerpb.Confirmation{By: h.By, AgeMs: uint32(max(0, now-h.At).Milliseconds())})
	}
}

// hear takes over what a peer's gossip says of the store.
func (f *Follower) hear(from string, g *peerpb.Gossip) {
	o := offer{
		peer: from, config: configID{g.ConfigVersion, g.ConfigEra, g.ConfigDigest},
		servers: position.Position{Era: g.ServersEra, Revision: g.ServersRevision}, digest: g.ServersDigest,
	}
	f.learnEra(g.StoreEra)
	f.mu.Lock()
	now := f.now()
	newest := time.Duration(0)
	confirmed := g.Confirmed
	if g.StoreEra < f.era {
		// The store may have lost what was confirmed then.
		confirmed = nil
	}
	for _, c := range confirmed {
		at := now - time.Duration(c.AgeMs)*time.Millisecond
		f.news.Record(watch.Confirmation{By: c.By, At: at})
		newest = max(newest, at)
	}
	f.mu.Unlock()
	if f.lacks(o) {
		if f.configID().older(o.config) {
			f.noteReplacing(o.config)
		}
		f.newer.Offer(o)
		return
	}
	f.confirm(newest)
}

// heardConfig is a configuration that another instance was heard to hold, and when.
type heardConfig struct {
	id configID
	at time.Duration
}

// noteReplacing notes a configuration that another instance holds, unless a newer one is
// known of.
func (f *Follower) noteReplacing(id configID) {
	next := &heardConfig{id, f.now()}
	for {
		known := f.replacing.Load()
		if known != nil && id.older(known.id) && next.at-known.at <= f.holds.ValidFor || f.replacing.CompareAndSwap(known, next) {
			return
		}
	}
}

// lacks reports whether a peer holds something newer.
func (f *Follower) lacks(o offer) bool { return f.configID().older(o.config) || f.lacksServers(o) }

func (f *Follower) lacksServers(o offer) bool {
	s := f.Servers()
	if o.servers.Revision <= 0 {
		return false
	}
	return s == nil || s.At.Before(o.servers) && (o.digest != s.Digest || o.servers.Era != s.At.Era)
}

// confirm notes that what is held was the newest at a time.
func (f *Follower) confirm(at time.Duration) {
	for {
		old := f.confirmed.Load()
		if int64(at) <= old || f.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// heardFromStore notes the answer to a watch, or to a read of the newest state.
func (f *Follower) heardFromStore(what string, err error) {
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct[what] = f.now()
	at := min(f.direct[whatConfig], f.direct[whatServers])
	if at > 0 {
		f.news.Record(watch.Confirmation{By: f.name, At: at})
		f.confirm(at)
	}
}

// askPeers fetches what a peer holds and this instance was not told in time. One that
// was frozen, cut off, or is new stays up to date that way.
func (f *Follower) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.inbox.C():
			f.adoptFromPeer(c)
		case o := <-f.newer.C():
			f.fetch(ctx, o)
		}
	}
}

// fetch asks a peer for what is still lacking after a while.
func (f *Follower) fetch(ctx context.Context, o offer) {
	if !f.lacks(o) {
		return
	}
	if f.Ready() {
		wait.For(ctx, askPeerAfter)
	}
	f.drainInbox()
	if held := f.configID(); held.older(o.config) {
		f.scope.Counter("config_asked_total").Inc(1)
		f.link.Send(o.peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{HaveVersion: held.version, HaveEra: held.era}}})
	}
	if f.lacksServers(o) {
		f.askForServers(o.peer)
	}
}

// drainInbox takes over what came while this instance waited.
func (f *Follower) drainInbox() {
	for {
		select {
		case c := <-f.inbox.C():
			f.adoptFromPeer(c)
		default:
			return
		}
	}
}

func (f *Follower) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetGossip() != nil:
		f.hear(from, env.GetGossip())
	case env.GetConfigRequest() != nil:
		r := env.GetConfigRequest()
		if held := f.configID(); held.version > r.HaveVersion || held.version == r.HaveVersion && held.era > r.HaveEra {
			f.passConfig([]string{from})
		}
	case env.GetConfigReply() != nil:
		f.inbox.Offer(configFrom{from, env.GetConfigReply()})
	case env.GetServersRequest() != nil:
		f.tellServers(from, position.Position{Era: env.GetServersRequest().HaveEra, Revision: env.GetServersRequest().HaveRevision})
	case env.GetServersReply() != nil:
		f.adoptServers(from, env.GetServersReply())
	}
}

// askServers asks one peer after the other for the list of servers while this instance
// holds none. Without that an instance that starts during an outage of the store serves
// nothing until it ends.
func (f *Follower) askServers(ctx context.Context) {
	wait.Every(ctx, askServersEvery, func() {
		peers := f.members.Peers()
		if f.Servers() == nil && len(peers) > 0 {
			f.askForServers(peers[rand.IntN(len(peers))])
		}
	})
}

func (f *Follower) askForServers(peer string) {
	f.scope.Counter("servers_asked_total").Inc(1)
	at := f.serversAt()
	f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ServersRequest{
		ServersRequest: &peerpb.ServersRequest{HaveRevision: at.Revision, HaveEra: at.Era},
	}})
}

func (f *Follower) tellServers(to string, have position.Position) {
	snap := f.Servers()
	if snap == nil || !have.Before(snap.At) {
		return
	}
	f.passServers([]string{to}, wholeList(snap, f.Age()))
}
