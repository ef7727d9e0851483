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
	// handoverTime is how long a new owner of a server gives out no permits: the one before may
	// do so until it has the same view.
	handoverTime = 2500 * time.Millisecond
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
	owner := l.owner(key)
	l.mu.Unlock()
	if !limited {
		return true, 0
	}
	req := &peerpb.PermitRequest{Limit: encodeOne(l.now(), key, r), Rank: int32(rank), Weight: weight, WaitUs: maxWait.Microseconds()}
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

// owner returns the instance that gives out the permits of a server; l.mu must be held.
func (l *Limits) owner(key ratelimit.Key) string {
	if owner, ok := l.owners[key]; ok {
		return owner
	}
	owner := ratelimit.Owner(key, l.candidates)
	l.owners[key] = owner
	return owner
}

// updateView applies a changed view of the fleet. A server that another instance owned until now
// gets no permits for a while.
func (l *Limits) updateView(v members.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.candidates
	l.owners, l.candidates, l.inSight = map[ratelimit.Key]string{}, nil, len(v.Alive)
	for _, m := range v.Alive {
		if !m.Leaving {
			l.candidates = append(l.candidates, m.Name)
		}
	}
	self := l.link.Self()
	for key := range l.table.All(l.now()) {
		if l.owner(key) == self && ratelimit.Owner(key, before) != self {
			l.pacer.Block(key, l.now()+handoverTime)
		}
	}
}

// TakePermit implements peerlink.Permitter.
func (l *Limits) TakePermit(ctx context.Context, req *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	key := ratelimit.Key(req.GetLimit().GetServer())
	if heard, limit, ok := decode(l.now(), req.GetLimit()); ok {
		l.set(heard, key, limit)
	}
	r := ratelimit.Request{Rank: int(req.Rank), Weight: req.Weight}
	granted, pause := l.enqueue(key, &r, time.Duration(req.WaitUs)*time.Microsecond)
	if granted || r.ID == 0 {
		return &peerpb.PermitReply{Granted: granted, WaitUs: pause.Microseconds()}, nil
	}
	defer l.leave(key, r.ID)
	for wait.For(ctx, pause) {
		if granted, pause = l.poll(key, r.ID); granted {
			return &peerpb.PermitReply{Granted: true, WaitUs: pause.Microseconds()}, nil
		}
	}
	return nil, ctx.Err()
}

// enqueue takes a permit or queues the request, which then has an ID. Without either, pause is
// the time until a permit is expected.
func (l *Limits) enqueue(key ratelimit.Key, r *ratelimit.Request, maxWait time.Duration) (granted bool, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rate, ok := l.rate(key)
	if !ok {
		return false, pauseFailed
	}
	l.lastRequest++
	id := l.lastRequest
	r.ID = id
	expected := l.pacer.Ask(now, key, rate, *r, maxWait)
	switch {
	case expected == 0:
		return true, l.pacer.Next(now, key)
	case expected > maxWait:
		r.ID = 0
		return false, expected
	}
	return false, min(expected, l.pacer.Next(now, key))
}

func (l *Limits) poll(key ratelimit.Key, id uint64) (granted bool, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rate, ok := l.rate(key)
	if !ok {
		return false, pauseFailed
	}
	if pause = l.pacer.Poll(now, key, rate, id); pause > 0 {
		return false, pause
	}
	return true, l.pacer.Next(now, key)
}

func (l *Limits) leave(key ratelimit.Key, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Leave(key, id)
}

// rate is the part of a server's limit that this instance gives out, or false if it does not
// own the server or has not run for long enough to know the others; l.mu must be held.
func (l *Limits) rate(key ratelimit.Key) (float64, bool) {
	r, limited := l.table.Get(key)
	if l.now() < handoverTime || l.owner(key) != l.link.Self() {
		return 0, false
	}
	if !limited {
		return unlimited, true
	}
	return ratelimit.ShareOf(r.PerSecond, l.inSight, l.all), true
}
