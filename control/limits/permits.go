package limits

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/members"
	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

const (
	// askTimeout bounds a call to an owner, besides the time that the request can wait.
	askTimeout = 150 * time.Millisecond
	// pauseFailed is how long a server is passed over whose owner did not answer.
	pauseFailed = 300 * time.Millisecond
	// leftFor is how long an instance that left still counts among all.
	leftFor = 3 * time.Second
)

// Permit asks whether a request may be sent to a limited server, and waits for that as long as
// the request can. It returns false, and when to ask again, if it may not.
func (l *Limits) Permit(ctx context.Context, s backends.Server, rank int, weight float64, maxWait time.Duration) (granted bool, retryAfter time.Duration) {
	key := ratelimit.KeyOf(s.ID, s.Life)
	l.mu.Lock()
	r, limited := l.table.Get(key)
	owner, instances := l.granter.Owner(key), l.granter.Size()
	l.mu.Unlock()
	if !limited {
		return true, 0
	}
	req := &peerpb.PermitRequest{
		Limit: encodeOne(l.now(), key, r), Rank: int32(rank), Weight: weight, WaitUs: maxWait.Microseconds(), Instances: uint32(instances),
	}
	reply, err := l.ask(ctx, owner, req, maxWait)
	if err != nil {
		l.countPermit("failed")
		l.log.Warn("no answer of the instance that gives out permits", zap.String("peer", owner), zap.String("server", s.ID), eventlog.Error(err))
		reply = &peerpb.PermitReply{WaitUs: pauseFailed.Microseconds()}
	}
	retryAfter = time.Duration(reply.WaitUs) * time.Microsecond
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closedUntil[key] = l.now() + retryAfter
	switch {
	case reply.Granted:
		l.permits[key]++
		l.countPermit("granted")
	case err == nil:
		l.countPermit("held_back")
	}
	return reply.Granted, retryAfter
}

func (l *Limits) countPermit(result string) {
	l.scope.Tagged(map[string]string{"result": result}).Counter("permits_total").Inc(1)
}

func (l *Limits) ask(ctx context.Context, owner string, req *peerpb.PermitRequest, maxWait time.Duration) (*peerpb.PermitReply, error) {
	if owner == l.link.Self() {
		return l.TakePermit(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait+askTimeout)
	defer cancel()
	return l.link.TakePermit(ctx, owner, req)
}

// updateView applies a changed view of the fleet.
func (l *Limits) updateView(v members.View) {
	next := ratelimit.View{InSight: len(v.Alive)}
	for _, m := range v.Alive {
		if !m.Leaving {
			next.Owners = append(next.Owners, m.Name)
		}
	}
	l.viewChanged.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.SetView(l.now(), next, l.table.Limited())
}

// TakePermit implements peerlink.Permitter.
func (l *Limits) TakePermit(ctx context.Context, req *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	key := ratelimit.Key(req.GetLimit().GetServer())
	if heard, limit, ok := decode(l.now(), req.GetLimit()); ok {
		l.set(heard, key, limit)
	}
	id, d := l.enqueue(key, req)
	if d.Queued {
		defer l.leave(key, id)
	}
	for d.Queued {
		if !wait.For(ctx, d.Pause) {
			return nil, ctx.Err()
		}
		d = l.poll(key, id)
	}
	return &peerpb.PermitReply{Granted: d.Granted, WaitUs: d.Pause.Microseconds()}, nil
}

func (l *Limits) enqueue(key ratelimit.Key, req *peerpb.PermitRequest) (id uint64, d ratelimit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequest++
	r := ratelimit.Request{ID: l.lastRequest, Rank: int(req.Rank), Weight: req.Weight}
	record, _ := l.table.Get(key)
	l.granter.SetTold(l.now(), int(req.Instances))
	return r.ID, l.granter.Ask(l.now(), key, record.Limit, r, time.Duration(req.WaitUs)*time.Microsecond)
}

func (l *Limits) poll(key ratelimit.Key, id uint64) ratelimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, _ := l.table.Get(key)
	return l.granter.Poll(l.now(), key, record.Limit, id)
}

func (l *Limits) leave(key ratelimit.Key, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.Leave(key, id)
}
