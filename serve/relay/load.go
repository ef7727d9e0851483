package relay

import (
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// placedLoad is the load that an attempt placed on its servers. The prefill part ends
// with the first event, the rest with the attempt.
type placedLoad struct {
	loads *loads.Loads
	plan  spread.Plan
	// prefillEnded is set once the first event arrived or the attempt ended.
	prefillEnded bool
}

func (p *placedLoad) firstEvent() {
	if p.prefillEnded {
		return
	}
	p.prefillEnded = true
	p.loads.EndPrefill(p.plan)
}

func (p *placedLoad) end() {
	p.firstEvent()
	p.loads.EndDecode(p.plan)
}
