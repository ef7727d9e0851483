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

// Times of reservations. An order whose answer is lost may be carried out
// seconds later, after the release, when nobody is left to end it. Memory is
// therefore reserved for a short time and renewed: what is reserved late goes
// by itself before it counts as lost.
const (
	holdFor    = 1900 * time.Millisecond
	renewEvery = 500 * time.Millisecond
	// orderTimeout bounds one order; an engine answers in a few milliseconds.
	orderTimeout = 300 * time.Millisecond
	// releaseTries are made before the reservation is left to expire.
	releaseTries = 2
)

// reservations are the memory that one attempt holds at other engines.
type reservations struct {
	relay *Relay
	all   []backend.Reservation
	stop  context.CancelFunc
	done  chan struct{}
}

// ticket returns the reservation at a server, or "".
func (r *reservations) ticket(server string) string {
	for _, v := range r.all {
		if v.Server == server {
			return v.Ticket
		}
	}
	return ""
}

// reserve asks all holders of a plan for memory at once. It fails unless all
// grant it; then nothing stays reserved.
func (x *exchange) reserve(ctx context.Context, plan spread.Plan) (*reservations, error) {
	r := &reservations{relay: x.relay}
	for i, p := range plan.Parts {
		if p.Reserve > 0 {
			r.all = append(r.all, backend.Reservation{
				Server: p.Server.ID, Life: p.Server.Life, Addr: p.Server.Addr, Tokens: p.Reserve, Hold: holdFor,
				Ticket: x.req.ID + "-" + strconv.Itoa(len(x.avoid)) + "-" + strconv.Itoa(i),
			})
		}
	}
	if len(r.all) == 0 {
		return r, nil
	}
	if refused := r.ask(ctx); len(refused) > 0 {
		x.avoid = append(x.avoid, refused...)
		r.giveBack()
		return nil, errors.Mark(errors.Newf("memory for the prompt is not granted by %v", refused), backend.ErrNotSent)
	}
	renew, stop := context.WithCancel(context.Background())
	r.stop, r.done = stop, make(chan struct{})
	go r.renew(renew)
	return r, nil
}

// ask makes or renews all reservations and returns the servers that did not
// grant theirs.
func (r *reservations) ask(ctx context.Context) (refused []string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	wait.Every(ctx, renewEvery, func() { r.ask(ctx) })
}

// release ends the reservations without waiting for the engines' answers.
func (r *reservations) release() {
	if r.stop == nil {
		return
	}
	r.stop()
	go func() {
		<-r.done
		r.giveBack()
	}()
}

// giveBack also releases what may have been granted without an answer.
func (r *reservations) giveBack() {
	for _, v := range r.all {
		go func() {
			var err error
			for range releaseTries {
				ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
				err = r.relay.client.Release(ctx, v)
				cancel()
				if err == nil {
					return
				}
			}
			r.relay.log.Info("release got no answer, the reservation expires by itself", zap.String("server", v.Server),
				zap.String("ticket", v.Ticket), zap.Duration("within", holdFor), eventlog.Error(err))
		}()
	}
}
