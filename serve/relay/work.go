package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// buckets span 1 ms to 16 s.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// work gives the load of an attempt back as its parts end.
type work struct {
	relay *Relay
	plan  spread.Plan
	read  bool
}

func newWork(r *Relay, p spread.Plan) *work { return &work{relay: r, plan: p} }

// firstEvent ends the reading of the prompt at all servers.
func (w *work) firstEvent() {
	if w.read {
		return
	}
	w.read = true
	for _, p := range w.plan.Parts {
		w.relay.loads.Done(p.Server.ID, spread.Load{Read: p.Load.Read, Parts: p.Load.Parts})
	}
}

func (w *work) end() {
	w.firstEvent()
	p := w.plan.Parts[0]
	w.relay.loads.Done(p.Server.ID, spread.Load{Calls: p.Load.Calls, HeldTokens: p.Load.HeldTokens})
}
