package relay

import (
	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/result"
)

// refusedByAdmission reports whether the request, which would be held, is refused instead, and records
// the decision for admissionError.
func (x *exchange) refusedByAdmission() bool {
	r := x.relay
	if len(r.admission) == 0 || x.service.Engine == nil || x.maxHoldTime() <= 0 {
		return false
	}
	x.admission = r.admission.Check(r.now(), x.admissionRequest())
	if x.admission.Refuse {
		r.count("admission_refusals_total", "reason", x.admission.Reason.String())
	}
	return x.admission.Refuse
}

func (x *exchange) admissionRequest() admission.Request {
	maxHold := x.maxHoldTime()
	latest := spread.Latest(x.service.Engine, x.req.PromptTokens, x.answerTokens(), x.route.FirstEventTarget, maxHold)
	ahead := x.workAhead()
	return admission.Request{
		Customer: admission.CustomerKey(x.customer), Rank: x.rank, Deep: x.isDeep(),
		Prefill: spread.PrefillTime(x.service.Engine, x.req.PromptTokens),
		Waited:  x.heldFor, MaxHold: maxHold, FirstTarget: x.route.FirstEventTarget,
		Latest: latest, Ahead: ahead.Prefill, AheadPrompts: ahead.Prompts,
	}
}

// admissionError is the refusal of a request by a check of the admission chain.
func (x *exchange) admissionError() *result.Error {
	d := x.admission
	if d.Reason == admission.ShareExceeded {
		return result.New(result.ShareExceeded, "the customer uses more than its share of the engines while others wait").WithRetryAfter(d.RetryAfter)
	}
	return result.New(result.Overloaded, "the engines will not have capacity for this prompt in its time").WithRetryAfter(x.retryAfterNoCapacity())
}
