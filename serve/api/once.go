package api

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/orphan"
	"github.com/auburnmoor/auburnmoor/decide/sequence"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

// claimWait bounds the wait for a claim; a request that gets none is refused
// as not run.
const claimWait = 4 * time.Second

// onceFuncs run a request that holds its claim, or take over a stream whose
// instance died.
type onceFuncs struct {
	run    func(*claimed) error
	resume func(r *claimed, engine, stream string) error
}

// claimed is a key held by this request.
type claimed struct {
	a   *API
	who caller
	id  string
	// keepAt takes the answer of a key with a home instead of the ledger.
	keepAt keepFunc
}

func (r *claimed) record(res *peerpb.ClaimResult) {
	res.Customer, res.Key, res.RequestId = r.who.customer.Name, r.who.key, r.id
	r.a.claims.Record(res)
}

// keep records the whole answer.
func (r *claimed) keep(status int, contentType string, body []byte) {
	if r.keepAt != nil {
		r.keepAt(status, contentType, body)
		return
	}
	r.record(&peerpb.ClaimResult{Status: uint32(status), ContentType: contentType, Answer: body})
}

// started records where the answer is generated, so that another instance can
// finish it.
func (r *claimed) started(engine, stream string) {
	if r.keepAt != nil {
		return
	}
	r.record(&peerpb.ClaimResult{Engine: engine, Stream: stream})
}

// once runs a request that may not be repeated, if its key can be claimed.
func (a *API) once(c echo.Context, who caller, body []byte, f onceFuncs) error {
	if name, incarnation, ok := homeOf(who.key); ok {
		return a.atHome(c, who, body, f, name, incarnation)
	}
	r := &claimed{a: a, who: who, id: requestID(c)}
	ctx, cancel := context.WithTimeout(c.Request().Context(), min(claimWait, who.limit))
	defer cancel()
	began := a.now()
	reply, err := a.claims.Claim(ctx, &peerpb.Claim{
		Customer: who.customer.Name, Key: who.key, BodyHash: xxhash.Sum64(body), RequestId: r.id,
	})
	if err != nil {
		// A grant may still be on its way; the key must not stay taken by it.
		r.record(&peerpb.ClaimResult{NotRun: true})
		return result.New(result.ClaimUnavailable, "the key could not be claimed in time").WithRetryAfter(time.Second)
	}
	r.who.limit -= a.now() - began
	switch reply.State {
	case peerpb.ClaimState_CLAIM_GRANTED:
		return a.runClaimed(c, r, f.run)
	case peerpb.ClaimState_CLAIM_DONE:
		return a.showKept(c, reply)
	case peerpb.ClaimState_CLAIM_RUNNING:
		return a.takeOver(c, r, reply, f.resume)
	case peerpb.ClaimState_CLAIM_MISMATCH:
		return result.New(result.KeyReused, "the key was used with another request")
	default:
		return result.New(result.ClaimUnavailable, "the ledger of claims is not available").WithRetryAfter(time.Duration(reply.RetryAfterUs) * time.Microsecond)
	}
}

// runClaimed runs the request even if its caller goes away: the key is used
// up, and the caller can only fetch the answer later.
func (a *API) runClaimed(c echo.Context, r *claimed, run func(*claimed) error) error {
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	err := run(r)
	var coded *result.Error
	if err != nil && errors.As(err, &coded) && coded.NotRun {
		r.record(&peerpb.ClaimResult{NotRun: true})
	}
	return err
}

func (a *API) showKept(c echo.Context, reply *peerpb.ClaimReply) error {
	if !reply.AnswerKept {
		return result.New(result.AnswerGone, "request %s ran under this key; its answer is no longer kept", reply.Runner)
	}
	a.countResult(result.OK)
	c.Response().Header().Set("X-Answer-Of", reply.Runner)
	return c.Blob(int(reply.Status), reply.ContentType, reply.Answer)
}

// takeOver answers a repeat of a key whose request has not finished. If the
// instance that ran it died, its stream goes on at the engine and is picked up
// there; without a stream nobody can tell whether it ran, and it never will
// again.
func (a *API) takeOver(c echo.Context, r *claimed, reply *peerpb.ClaimReply, resume func(*claimed, string, string) error) error {
	if a.instanceLives(reply.Runner) {
		return result.New(result.ClaimRunning, "request %s runs under this key", reply.Runner).WithRetryAfter(time.Second)
	}
	if reply.Stream == "" || resume == nil {
		return result.New(result.OutcomeUnknown, "request %s held this key and its instance died", reply.Runner)
	}
	r.id = reply.Runner
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	return resume(r, reply.Engine, reply.Stream)
}

// instanceLives reports whether the process that issued a request id is a
// live member.
func (a *API) instanceLives(request string) bool {
	id, ok := orphan.Parse(request)
	return ok && a.mem.View().Lives(id.Instance, id.Incarnation)
}

// resume shows the answer of a stream that another instance started.
func (a *API) resume(c echo.Context, w work, r *claimed, engineName, stream string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), w.limit)
	defer cancel()
	out := w.sink(c, r)
	order, u := sequence.StartingAt(0), usage{}
	err := a.disp.Engine().Resume(ctx, a.disp.Addr(engineName), stream, 0, func(ch engine.Chunk) error {
		text, err := accept(stream, &order, ch)
		if ch.End && err == nil {
			u = usageOf(0, ch)
		}
		if err != nil || text == "" {
			return err
		}
		return out.token(text)
	})
	if err != nil {
		return out.fail(result.New(result.OutcomeUnknown, "request %s held this key and its stream is lost", r.id))
	}
	a.countResult(result.OK)
	return out.finish(u)
}
