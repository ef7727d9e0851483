package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

const (
	// peerRequestDelay is how long an instance waits for the store and the watching
	// instances to deliver content that a peer announced, before it requests it there.
	peerRequestDelay = 300 * time.Millisecond
	// maxConfirmations bounds the confirmations in one gossip message and in the dump.
	maxConfirmations = 8
	// serversRequestInterval is how often an instance without a list of servers requests
	// it from a peer.
	serversRequestInterval = 500 * time.Millisecond
)

// offer is what a peer announced in gossip: the state of its configuration and servers.
type offer struct {
	peer    string
	config  configID
	servers position.Position
	digest  uint64
	// at is when it was announced.
	at time.Duration
}

// addToGossip adds the state of this instance and its latest confirmations to a message.
func (f *Follower) addToGossip(g *peerpb.Gossip) {
	g.StoreEra = f.catalog.Era()
	id := f.configID()
	g.ConfigVersion, g.ConfigEra, g.ConfigDigest = id.version, id.era, id.digest
	if s := f.Servers(); s != nil {
		g.ServersRevision, g.ServersEra, g.ServersDigest = s.At.Revision, s.At.Era, s.Digest
	}
	g.Evacuations = f.evacuationsMessage()
	if f.superseded() {
		// The confirmations are for a newer configuration than the local one. A peer with
		// the same old configuration would apply them to it.
		return
	}
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.confirmations.Newest(now, maxConfirmations) {
		g.Confirmed = append(g.Confirmed, f.confirmationMessage(now, c))
	}
}

// receiveGossip processes what a peer's gossip reports about the store.
func (f *Follower) receiveGossip(from string, g *peerpb.Gossip) {
	o := offer{
		peer: from, config: configID{g.ConfigVersion, g.ConfigEra, g.ConfigDigest},
		servers: position.Position{Era: g.ServersEra, Revision: g.ServersRevision}, digest: g.ServersDigest, at: f.now(),
	}
	f.learnEra(g.StoreEra)
	f.adoptEvacuations(from, g.Evacuations)
	f.mu.Lock()
	now := f.now()
	confirmedAll, confirmedConfig := time.Duration(0), time.Duration(0)
	confirmed := g.Confirmed
	if g.StoreEra < f.era {
		// The store may have lost what was confirmed in the earlier era.
		confirmed = nil
	}
	for _, c := range confirmed {
		entry := confirmationFrom(now, c)
		f.confirmations.Record(entry)
		confirmedAll = max(confirmedAll, min(entry.At[watch.Config], entry.At[watch.Servers]))
		confirmedConfig = max(confirmedConfig, entry.At[watch.Config])
	}
	f.mu.Unlock()
	f.compareServers(from, o.servers, o.digest)
	newerConfig, newerServers := f.configID().supersededBy(o.config), f.offersNewerServers(o)
	if newerConfig {
		f.recordNewerConfig(o.config)
	} else {
		raise(&f.configConfirmedAt, confirmedConfig)
	}
	if newerServers {
		f.noteBehind(o.servers)
	}
	if newerConfig || newerServers {
		f.offers.Offer(o)
		return
	}
	raise(&f.confirmedAt, confirmedAll)
}

// announcedConfig is a configuration that another instance announced, and when it did so first and
// last.
type announcedConfig struct {
	id        configID
	first, at time.Duration
}

// recordNewerConfig records a configuration that another instance announced, unless a
// newer one was announced recently.
func (f *Follower) recordNewerConfig(id configID) {
	for {
		known := f.newerConfig.Load()
		next := &announcedConfig{id: id, first: f.now(), at: f.now()}
		if known != nil && known.id == id {
			next.first = known.first
		}
		if known != nil && id.supersededBy(known.id) && next.at-known.at <= f.confirmPolicy.ValidFor || f.newerConfig.CompareAndSwap(known, next) {
			return
		}
	}
}

// offersNewer reports whether a peer has a newer configuration or list of servers.
func (f *Follower) offersNewer(o offer) bool {
	return f.configID().supersededBy(o.config) || f.offersNewerServers(o)
}

func (f *Follower) offersNewerServers(o offer) bool {
	s := f.Servers()
	if o.servers.Revision <= 0 {
		return false
	}
	return s == nil || s.At.Before(o.servers) && (o.digest != s.Digest || o.servers.Era != s.At.Era)
}

// raise sets a time to a later one.
func raise(t *atomic.Int64, at time.Duration) {
	for {
		old := t.Load()
		if int64(at) <= old || t.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// recordAnswer records the result of a watch or of a read of the newest state. The local configuration is
// confirmed as of its own answer, the local content as of the older answer of configuration and servers.
func (f *Follower) recordAnswer(s watch.Source, err error) {
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt[s] = f.now()
	f.confirmations.Record(watch.Confirmation{By: f.name, At: f.answeredAt})
	raise(&f.configConfirmedAt, f.answeredAt[watch.Config])
	raise(&f.confirmedAt, min(f.answeredAt[watch.Config], f.answeredAt[watch.Servers]))
}

// recordFailedCall records that a call for a source failed.
func (f *Follower) recordFailedCall(s watch.Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := watch.Times{}
	failed[s] = f.now()
	f.confirmations.Record(watch.Confirmation{By: f.name, Failed: failed})
}

// syncWithPeers requests newer content that peers announced and that did not arrive in
// time. This keeps instances up to date that were frozen, cut off or have just started.
func (f *Follower) syncWithPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.inbox.C():
			f.adoptFromPeer(c)
		case o := <-f.offers.C():
			f.requestMissing(ctx, o)
		}
	}
}

// requestMissing requests from a peer what is still missing after peerRequestDelay.
func (f *Follower) requestMissing(ctx context.Context, o offer) {
	if f.Ready() {
		f.awaitContent(ctx, o)
	}
	if held := f.configID(); held.supersededBy(o.config) && f.requests.config.due(f.now()) {
		f.scope.Counter("config_asked_total").Inc(1)
		f.link.Send(o.peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{HaveVersion: held.version, HaveEra: held.era}}})
	}
	if f.wantsServers(o) && f.requests.servers.due(f.now()) {
		f.requestServers(o.peer)
	}
}

// wantsServers reports whether to request the list of servers from a peer: an instance that has none takes
// any, also one that the peer does not offer because it may be stale.
func (f *Follower) wantsServers(o offer) bool {
	return f.Servers() == nil || f.offersNewerServers(o) && !f.watchIsCurrent()
}

// awaitContent adopts configurations as they arrive until an offer holds nothing newer, or until
// peerRequestDelay has passed since it was announced.
func (f *Follower) awaitContent(ctx context.Context, o offer) {
	timeout := time.NewTimer(o.at + peerRequestDelay - f.now())
	defer timeout.Stop()
	for f.offersNewer(o) {
		select {
		case <-ctx.Done():
			return
		case c := <-f.inbox.C():
			f.adoptFromPeer(c)
		case <-timeout.C:
			return
		}
	}
}

// lastRequest is the last request for one kind of content. Several peers announce the same content
// within milliseconds, and only one of them is asked for it at a time.
type lastRequest struct {
	made bool
	at   time.Duration
}

// due reports whether a request is to be made now, and records that it is.
func (r *lastRequest) due(now time.Duration) bool {
	if r.made && now-r.at < peerRequestDelay {
		return false
	}
	*r = lastRequest{made: true, at: now}
	return true
}

func (f *Follower) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetGossip() != nil:
		f.receiveGossip(from, env.GetGossip())
	case env.GetConfigRequest() != nil:
		r := env.GetConfigRequest()
		if held := f.configID(); held.version > r.HaveVersion || held.version == r.HaveVersion && held.era > r.HaveEra {
			f.sendConfig([]string{from})
		}
	case env.GetConfigReply() != nil:
		f.inbox.Offer(peerConfig{from, env.GetConfigReply()})
	case env.GetServersRequest() != nil:
		f.receiveServersRequest(from, env.GetServersRequest())
	case env.GetServersReply() != nil:
		f.adoptServers(from, env.GetServersReply())
	case env.GetEvacuations() != nil:
		f.adoptEvacuations(from, env.GetEvacuations())
	case env.GetColdServers() != nil:
		f.adoptColdTimes(from, env.GetColdServers())
	}
}

// bootstrapServers requests the list of servers from random peers while this instance has
// none. Otherwise one that starts during a store outage could not serve until its end.
func (f *Follower) bootstrapServers(ctx context.Context) {
	wait.Every(ctx, serversRequestInterval, func() {
		peers := f.members.Peers()
		if f.Servers() == nil && len(peers) > 0 {
			f.requestServers(peers[rand.IntN(len(peers))])
		}
	})
}

func (f *Follower) requestServers(peer string) { f.sendServersRequest(peer, false) }

// sendServersRequest requests the list of servers of a peer; verified has it compared with the store first.
func (f *Follower) sendServersRequest(peer string, verified bool) {
	f.scope.Counter("servers_asked_total").Inc(1)
	at := f.serversAt()
	f.link.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ServersRequest{
		ServersRequest: &peerpb.ServersRequest{HaveRevision: at.Revision, HaveEra: at.Era, Verified: verified},
	}})
}

func (f *Follower) sendServersIfNewer(to string, have position.Position) {
	snap := f.Servers()
	if snap == nil || !have.Before(snap.At) {
		return
	}
	f.sendServers([]string{to}, f.fullReply(snap))
}
