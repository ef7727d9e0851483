package relay

import (
	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/result"
)

// keepShares has usage of customers counted and requests checked by fair shares.
func (r *Relay) keepShares() {
	r.loads.KeepShares()
	r.admission = append(r.admission, r.loads)
}

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
	return admission.Request{
		Customer: x.customerKey(), Deep: x.isDeep(),
		Waited: x.heldFor, MaxHold: x.maxHoldTime(), FirstTarget: x.route.FirstEventTarget,
	}
}

// admissionError is the refusal of a request by the admission chain.
func (x *exchange) admissionError() *result.Error {
	return result.New(result.ShareExceeded, "the customer uses more than its share of the engines while others wait").WithRetryAfter(x.admission.RetryAfter)
}

// customerKey is the request's customer in load reports.
func (x *exchange) customerKey() uint32 { return admission.CustomerKey(x.customer) }

// waitForShare records whether the request is held for capacity that its customer shares with others.
func (x *exchange) waitForShare(waits bool) {
	if x.waitsForShare == waits || x.service.Engine == nil {
		return
	}
	x.waitsForShare = waits
	n := -1
	if waits {
		n = 1
	}
	x.relay.loads.HoldFor(x.customerKey(), x.isDeep(), n)
}

// recordUsage records the prefill of a placed prompt for its customer.
func (x *exchange) recordUsage(p spread.Plan, v spread.Verdict) {
	if v == spread.Placed && x.service.Engine != nil {
		x.relay.loads.RecordUsage(x.customerKey(), p)
	}
}
