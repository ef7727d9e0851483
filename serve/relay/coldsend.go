package relay

import (
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/warmup"
)

// coldQuotas are the requests that this instance sent to cold servers. Its zero value is empty. Its
// mutex may be locked while any other is held.
type coldQuotas struct {
	mu      sync.Mutex
	limiter *warmup.Limiter
}

// with calls f with the limiter.
func (q *coldQuotas) with(f func(*warmup.Limiter)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limiter == nil {
		q.limiter = warmup.NewLimiter()
	}
	f(q.limiter)
}

// coldSend is the part of one attempt in the quota of its server, nil for a server that is not cold.
type coldSend struct {
	quotas *coldQuotas
	entry  *warmup.Send
	// pending is set until the attempt is sent, returned once it was given back.
	pending, returned bool
}

// sent records that the attempt is sent now.
func (s *coldSend) sent(now time.Duration) {
	if s != nil {
		s.pending = false
		s.quotas.with(func(l *warmup.Limiter) { l.Sent(now, s.entry) })
	}
}

// giveBack records that the attempt does not count: it was not sent, or its server does not count it.
func (s *coldSend) giveBack() {
	if s != nil {
		s.pending, s.returned = false, true
		s.quotas.with(func(l *warmup.Limiter) { l.Return(s.entry) })
	}
}

// end gives the part back if the attempt ended before it was sent.
func (s *coldSend) end() {
	if s != nil && s.pending {
		s.giveBack()
	}
}

// countColdSend counts the attempt if it was sent to a cold server and counts against its quota.
func (x *exchange) countColdSend(t *try) {
	if t.quota != nil && !t.quota.returned {
		x.relay.count("requests_to_cold_servers_total", "service", x.service.Name)
	}
}
