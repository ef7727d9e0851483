package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// askPeers fetches a version that a peer holds and the store did not tell in
// time. An instance that the store turns away stays up to date that way.
func (f *Follower) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.inbox.C():
			f.adopt(c, "peer")
		case v := <-f.heard.C():
			wait.For(ctx, askPeerAfter)
			if v.version > f.version() {
				f.link.Send(v.peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{HaveVersion: f.version()}}})
			}
		}
	}
}

func (f *Follower) receive(from string, env *peerpb.Envelope) {
	switch {
	case env.GetConfigRequest() != nil:
		raw := f.raw.Load()
		if raw == nil || f.version() <= env.GetConfigRequest().HaveVersion {
			return
		}
		f.link.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: &peerpb.ConfigReply{Version: f.version(), Content: *raw}}})
	case env.GetConfigReply() != nil:
		c, err := f.catalog.Decode(env.GetConfigReply().Content)
		if err != nil {
			f.log.Warn("configuration from a peer cannot be read", zap.String("peer", from), eventlog.Error(err))
			return
		}
		f.inbox.Offer(c)
	case env.GetServersRequest() != nil:
		f.tellServers(from, env.GetServersRequest().HaveRevision)
	case env.GetServersReply() != nil:
		f.adoptServers(from, env.GetServersReply())
	}
}

// askServersEvery is how often a peer is asked for the list of servers while
// the store does not tell it. A leaving server must be known within 2 s.
const askServersEvery = 500 * time.Millisecond

// askServers asks one peer after the other for the list of servers while the
// store does not answer this instance. Without that an instance that starts
// during an outage serves nothing until it ends, and one that the store turns
// away goes on sending to servers that leave.
func (f *Follower) askServers(ctx context.Context) {
	wait.Every(ctx, askServersEvery, f.askForServers)
}

func (f *Follower) askForServers() {
	if f.Servers() != nil && !f.storeFailing.Load() {
		return
	}
	peers := f.members.Peers()
	if len(peers) == 0 {
		return
	}
	f.link.Send(peers[rand.IntN(len(peers))], &peerpb.Envelope{Body: &peerpb.Envelope_ServersRequest{
		ServersRequest: &peerpb.ServersRequest{HaveRevision: f.serversRevision()},
	}})
}

// serversRevision is that of the list held, or -1.
func (f *Follower) serversRevision() int64 {
	if s := f.Servers(); s != nil {
		return s.Revision
	}
	return -1
}

func (f *Follower) tellServers(to string, have int64) {
	snap := f.Servers()
	if snap == nil || snap.Revision < have {
		return
	}
	out := &peerpb.ServersReply{Revision: snap.Revision, AgeUs: f.ServersAge().Microseconds()}
	for _, s := range snap.All() {
		out.Servers = append(out.Servers, &peerpb.ListedServer{
			Id: s.ID, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int64(s.Slots), Leaving: s.Leaving, Life: int64(s.Life),
		})
	}
	f.link.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ServersReply{ServersReply: out}})
}

// adoptServers takes over a peer's list if it is newer than the one held. The
// same list confirms the one held as of the peer's last word from the store.
func (f *Follower) adoptServers(from string, r *peerpb.ServersReply) {
	have := f.serversRevision()
	if r.Revision < have {
		return
	}
	var list []backends.Server
	for _, s := range r.Servers {
		list = append(list, backends.Server{
			ID: s.Id, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Slots: int(s.Slots), Leaving: s.Leaving, Life: backends.Life(s.Life),
		})
	}
	age := time.Duration(r.AgeUs) * time.Microsecond
	f.update(f.now()-age, func(now time.Duration) bool { return r.Revision > have && f.set.Replace(now, list, r.Revision) })
	if r.Revision > have {
		f.log.Info("backend servers from a peer", zap.String("peer", from), zap.Int64("revision", r.Revision), zap.Duration("age", age))
	}
}
