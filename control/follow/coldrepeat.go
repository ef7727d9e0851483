package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

const (
	// coldPerMessage is the number of servers in one message, so that it fits into a datagram.
	coldPerMessage = 16
	// maxColdMessages bounds the messages to one instance in a round.
	maxColdMessages = 6
	// coldChangeDelay is how long changes are collected before they are sent.
	coldChangeDelay = 5 * time.Millisecond
)

// repeatColdTimes repeats cold times to other instances while there are cold servers, and at once when a
// server became cold.
func (f *Follower) repeatColdTimes(ctx context.Context) {
	ticker := time.NewTicker(backends.ColdRepeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.sendColdTimes(backends.ColdRepeatPeers)
		case <-f.becameCold:
			wait.For(ctx, coldChangeDelay)
			f.sendColdTimes(backends.ColdChangePeers)
		}
	}
}

// sendColdTimes sends the cold times to some random instances.
func (f *Follower) sendColdTimes(count int) {
	messages := f.coldMessages(f.now(), f.Servers())
	if len(messages) == 0 {
		return
	}
	peers := f.members.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range messages {
		f.link.SendDatagrams(peers[:min(len(peers), count)], &peerpb.Envelope{Body: &peerpb.Envelope_ColdServers{ColdServers: m}})
	}
}

// coldMessages returns the cold times to repeat in one round, those of randomly chosen servers if there are
// too many.
func (f *Follower) coldMessages(now time.Duration, snap *backends.Snapshot) (out []*peerpb.ColdServers) {
	if snap == nil {
		return nil
	}
	statements := snap.ColdStatements(now, f.limitsCold)
	if most := coldPerMessage * maxColdMessages; len(statements) > most {
		rand.Shuffle(len(statements), func(i, j int) { statements[i], statements[j] = statements[j], statements[i] })
		statements = statements[:most]
	}
	for part := range slices.Chunk(statements, coldPerMessage) {
		m := &peerpb.ColdServers{}
		for _, c := range part {
			m.Servers = append(m.Servers, &peerpb.ColdServer{
				Id: c.ID, Life: int64(c.Life), ColdMs: coldMS(c.Remaining), Era: c.At.Era, Revision: c.At.Revision,
			})
		}
		out = append(out, m)
	}
	return out
}

// limitsCold reports whether the requests to cold servers of a service are limited.
func (f *Follower) limitsCold(service string) bool {
	_, limited := f.usualColdTime(service)
	return limited
}

// adoptColdTimes takes over cold times that another instance repeats.
func (f *Follower) adoptColdTimes(from string, m *peerpb.ColdServers) {
	var statements []backends.ColdStatement
	for _, s := range m.GetServers()[:min(len(m.GetServers()), coldPerMessage)] {
		statements = append(statements, backends.ColdStatement{
			ID: s.GetId(), Life: backends.Life(s.GetLife()), ColdTime: coldTimeFrom(s.GetColdMs(), s.GetEra(), s.GetRevision()),
		})
	}
	before := f.Servers()
	f.updateServers(from, func(now time.Duration) bool { return f.serverSet.AdoptCold(now, statements) })
	f.countRepairs(before, statements)
}

// countRepairs counts the servers that this instance takes for cold only because of repeated statements.
func (f *Follower) countRepairs(before *backends.Snapshot, statements []backends.ColdStatement) {
	now, after := f.now(), f.Servers()
	if before == nil || before == after {
		return
	}
	for _, c := range statements {
		v, _ := after.Get(c.ID)
		usual, limited := f.usualColdTime(v.Service)
		if limited && before.ColdUntil(c.ID, usual) <= now && after.ColdUntil(c.ID, usual) > now {
			f.scope.Counter("cold_times_repaired_total").Inc(1)
		}
	}
}
