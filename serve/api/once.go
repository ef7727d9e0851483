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

// claimWait limits the wait for a claim. A request that gets no claim is rejected
// as not run.
const claimWait = 4 * time.Second

// claimHandlers run a request whose key was claimed, or resume the stream of a
// request whose instance died.
type claimHandlers struct {
	run    func(*claimedKey) error
	resume func(r *claimedKey, engine, stream string) error
}

// claimedKey is an idempotency key claimed by this request.
type claimedKey struct {
	a   *API
	who caller
	id  string
	// keepBound stores the answer of a bound key; nil uses the ledger.
	keepBound keepFunc
}

func (r *claimedKey) record(res *peerpb.ClaimResult) {
	res.Customer, res.Key, res.RequestId = r.who.customer.Name, r.who.key, r.id
	r.a.claims.Record(res)
}

// storeAnswer records the complete answer.
func (r *claimedKey) storeAnswer(status int, contentType string, body []byte) {
	if r.keepBound != nil {
		r.keepBound(status, contentType, body)
		return
	}
	r.record(&peerpb.ClaimResult{Status: uint32(status), ContentType: contentType, Answer: body})
}

// recordStream records where the answer is generated, so that another instance
// can resume the stream.
func (r *claimedKey) recordStream(engine, stream string) {
	if r.keepBound != nil {
		return
	}
	r.record(&peerpb.ClaimResult{Engine: engine, Stream: stream})
}

// runOnce runs a request at most once: only if its key can be claimed.
func (a *API) runOnce(c echo.Context, who caller, body []byte, f claimHandlers) error {
	if name, incarnation, ok := parseBoundKey(who.key); ok {
		return a.serveBoundKey(c, who, body, f, name, incarnation)
	}
	r := &claimedKey{a: a, who: who, id: requestID(c)}
	ctx, cancel := context.WithTimeout(c.Request().Context(), min(claimWait, who.timeBudget))
	defer cancel()
	began := a.now()
	reply, err := a.claims.Claim(ctx, &peerpb.Claim{
		Customer: who.customer.Name, Key: who.key, BodyHash: xxhash.Sum64(body), RequestId: r.id,
	})
	if err != nil {
		// A grant may still be in transit; release the key in case it arrives.
		r.record(&peerpb.ClaimResult{NotRun: true})
		return result.New(result.ClaimUnavailable, "the key could not be claimed in time").WithRetryAfter(time.Second)
	}
	r.who.timeBudget -= a.now() - began
	switch reply.State {
	case peerpb.ClaimState_CLAIM_GRANTED:
		return a.runClaimed(c, r, f.run)
	case peerpb.ClaimState_CLAIM_DONE:
		return a.replayAnswer(c, reply)
	case peerpb.ClaimState_CLAIM_RUNNING:
		return a.takeOver(c, r, reply, f.resume)
	case peerpb.ClaimState_CLAIM_MISMATCH:
		return result.New(result.KeyReused, "the key was used with another request")
	default:
		return result.New(result.ClaimUnavailable, "the ledger of claims is not available").WithRetryAfter(time.Duration(reply.RetryAfterUs) * time.Microsecond)
	}
}

// runClaimed runs the request even if its caller disconnects: the key is used,
// and the caller can only fetch the answer by repeating the request.
func (a *API) runClaimed(c echo.Context, r *claimedKey, run func(*claimedKey) error) error {
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	err := run(r)
	var coded *result.Error
	if err != nil && errors.As(err, &coded) && coded.NotRun {
		r.record(&peerpb.ClaimResult{NotRun: true})
	}
	return err
}

func (a *API) replayAnswer(c echo.Context, reply *peerpb.ClaimReply) error {
	if !reply.AnswerKept {
		return result.New(result.AnswerGone, "request %s ran under this key; its answer is no longer kept", reply.Runner)
	}
	a.countResult(result.OK)
	c.Response().Header().Set("X-Answer-Of", reply.Runner)
	return c.Blob(int(reply.Status), reply.ContentType, reply.Answer)
}

// takeOver answers a repeated key whose first request has not finished. If the
// instance that ran it died, its stream continues on the engine and is resumed
// there. Without a stream the outcome is unknown, and the key never runs again.
func (a *API) takeOver(c echo.Context, r *claimedKey, reply *peerpb.ClaimReply, resume func(*claimedKey, string, string) error) error {
	if a.issuerAlive(reply.Runner) {
		return result.New(result.ClaimRunning, "request %s runs under this key", reply.Runner).WithRetryAfter(time.Second)
	}
	if reply.Stream == "" || resume == nil {
		return result.New(result.OutcomeUnknown, "request %s held this key and its instance died", reply.Runner)
	}
	r.id = reply.Runner
	c.SetRequest(c.Request().WithContext(context.WithoutCancel(c.Request().Context())))
	return resume(r, reply.Engine, reply.Stream)
}

// issuerAlive reports whether the process that issued a request id is an alive
// member.
func (a *API) issuerAlive(request string) bool {
	id, ok := orphan.Parse(request)
	return ok && a.mem.View().Lives(id.Instance, id.Incarnation)
}

// resume returns the answer of a stream that another instance started.
func (a *API) resume(c echo.Context, w modelRequest, r *claimedKey, engineName, stream string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), w.timeBudget)
	defer cancel()
	out := w.sink(c, r)
	order, u := sequence.StartingAt(0), usage{}
	err := a.disp.Engine().Resume(ctx, a.disp.Addr(engineName), stream, 0, func(ch engine.Chunk) error {
		text, err := checkChunk(stream, &order, ch)
		if ch.End && err == nil {
			u = usageOf(0, ch)
		}
		if err != nil || text == "" {
			return err
		}
		return out.writeToken(text)
	})
	if err != nil {
		return out.fail(result.New(result.OutcomeUnknown, "request %s held this key and its stream is lost", r.id))
	}
	a.countResult(result.OK)
	return out.finish(u)
}
