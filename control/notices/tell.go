package notices

import (
	"context"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func (n *Notices) run(ctx context.Context) {
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-n.news:
			time.Sleep(batchDelay)
			n.tell(n.loads.Cell().Peers, false)
		case <-repeat.C:
			n.expire()
			n.tell(n.members.Neighbours(), i%allEvery == 0 || n.viewChanged.Swap(false))
		}
	}
}

// tell sends peers what this instance learned lately of servers that leave, or all that it knows.
func (n *Notices) tell(peers []string, all bool) {
	if n.known.Load() == 0 || len(peers) == 0 {
		return
	}
	n.mu.Lock()
	now := n.now()
	leaving := n.table.LearnedSince(now - repeatFor)
	if all {
		leaving = n.table.Leaving()
	}
	n.mu.Unlock()
	for _, part := range split(encode(now, leaving)) {
		n.link.SendDatagrams(peers, &peerpb.Envelope{Body: &peerpb.Envelope_ServerNotices{ServerNotices: part}})
	}
}

func (n *Notices) receive(_ string, env *peerpb.Envelope) {
	for _, in := range env.GetServerNotices().GetLeaving() {
		now := n.now()
		w := notice.Leaving{By: in.HeardBy, Heard: now - time.Duration(in.AgeMs)*time.Millisecond, Learned: now}
		server := notice.Key{Server: in.Id, Life: backends.Life(in.Life)}
		if notice.Outdated(now, w) && !n.listed(server) {
			continue
		}
		n.recordLeaving(server, w)
	}
}

func encode(now time.Duration, leaving map[notice.Key]notice.Leaving) (out []*peerpb.LeavingServer) {
	for _, server := range notice.Sorted(leaving) {
		w := leaving[server]
		out = append(out, &peerpb.LeavingServer{Id: server.Server, Life: int64(server.Life), HeardBy: w.By, AgeMs: uint32((now - w.Heard).Milliseconds())})
	}
	return out
}

// maxPerMessage is the number of servers in one message, so that it fits into a datagram.
const maxPerMessage = 12

// split divides a list into messages.
func split(list []*peerpb.LeavingServer) (out []*peerpb.ServerNotices) {
	for len(list) > 0 {
		k := min(len(list), maxPerMessage)
		out = append(out, &peerpb.ServerNotices{Leaving: list[:k]})
		list = list[k:]
	}
	return out
}
