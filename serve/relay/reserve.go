package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/internal/wait"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

// Times of reservations. An engine may carry out a reservation call seconds after its
// reply was lost, and after the release, when no caller is left to end it. Memory is
// therefore reserved for a short time and renewed: a late reservation expires before
// its memory counts as leaked.
const (
	reservationTTL = 1900 * time.Millisecond
	renewInterval  = 500 * time.Millisecond
	// reservationTimeout bounds one call; an engine answers in a few milliseconds.
	reservationTimeout = 300 * time.Millisecond
	// releaseAttempts are made before the reservation is left to expire.
	releaseAttempts = 2
)

// reservations are the memory that one attempt holds at its helpers.
type reservations struct {
	relay *Relay
	all   []backend.Reservation
	stop  context.CancelFunc
	done  chan struct{}
}

// ticket returns the ticket of the reservation at a server, or "".
func (r *reservations) ticket(server string) string {
	for _, v := range r.all {
		if v.Server == server {
			return v.Ticket
		}
	}
	return ""
}

// reserve reserves the memory of all parts of a plan in parallel. If any server does
// not grant its part, everything is released and an error returned.
func (x *exchange) reserve(ctx context.Context, plan spread.Plan) (*reservations, error) {
	r := &reservations{relay: x.relay}
	if err := x.checkGuards(plan); err != nil {
		return nil, err
	}
	attempt := strconv.FormatInt(x.reservations.Add(1), 10)
	for i, p := range plan.Parts {
		if p.Reserve > 0 {
			r.all = append(r.all, backend.Reservation{
				Server: p.Server.ID, Life: p.Server.Life, Addr: p.Server.Addr, Tokens: p.Reserve, Hold: reservationTTL,
				Ticket: x.req.ID + "-" + attempt + "-" + strconv.Itoa(i),
			})
		}
	}
	if len(r.all) == 0 {
		return r, nil
	}
	if refused := r.reserveAll(ctx); len(refused) > 0 {
		x.addAvoided(refused...)
		r.releaseAll()
		return nil, errors.Mark(errors.Newf("memory for the prompt was not granted by %v", refused), backend.ErrNotSent)
	}
	if err := x.checkGuards(plan); err != nil {
		r.releaseAll()
		return nil, err
	}
	renewCtx, stop := context.WithCancel(context.Background())
	r.stop, r.done = stop, make(chan struct{})
	go r.renew(renewCtx)
	return r, nil
}

// checkGuards returns an error if a server of a plan wants no request by now. The client checks the
// first one again as it sends the request.
func (x *exchange) checkGuards(plan spread.Plan) error {
	for _, p := range plan.Parts {
		if err := x.relay.guards.Check(backend.Endpoint{Server: p.Server.ID, Life: p.Server.Life, Addr: p.Server.Addr}); err != nil {
			x.recordHeldBack(p.Server.ID)
			return err
		}
	}
	return nil
}

// recordHeldBack records that the current attempt was not sent because a server wants no request.
// It is no failure of a server, and another one is tried at once.
func (x *exchange) recordHeldBack(server string) {
	x.addAvoided(server)
	x.state.AddDialFailure(0)
	x.relay.count("held_from_servers_total", "service", x.service.Name)
}

// reserveAll makes or renews all reservations and returns the servers that did not
// grant theirs.
func (r *reservations) reserveAll(ctx context.Context) (refused []string) {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range r.all {
		wg.Go(func() {
			ok, err := r.relay.client.Reserve(ctx, v)
			if ok && err == nil {
				return
			}
			r.relay.count("reservations_refused_total", "lost", strconv.FormatBool(err != nil))
			r.relay.log.Info("reservation not granted", zap.String("server", v.Server), zap.String("ticket", v.Ticket),
				zap.Int64("tokens", v.Tokens), eventlog.Error(err))
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, v.Server)
		})
	}
	wg.Wait()
	return refused
}

func (r *reservations) renew(ctx context.Context) {
	defer close(r.done)
	wait.Every(ctx, renewInterval, func() { r.reserveAll(ctx) })
}

// release stops the renewals and releases the memory in the background.
func (r *reservations) release() {
	if r.stop == nil {
		return
	}
	r.stop()
	go func() {
		<-r.done
		r.releaseAll()
	}()
}

// releaseAll also releases reservations that were granted but whose reply was lost.
func (r *reservations) releaseAll() {
	for _, v := range r.all {
		go func() {
			var err error
			for range releaseAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
				err = r.relay.client.Release(ctx, v)
				cancel()
				if err == nil {
					return
				}
			}
			r.relay.log.Info("release not acknowledged, reservation left to expire", zap.String("server", v.Server),
				zap.String("ticket", v.Ticket), zap.Duration("within", reservationTTL), eventlog.Error(err))
		}()
	}
}
