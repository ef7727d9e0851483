package relay

import (
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// work gives the load of an attempt back as its parts end.
type work struct {
	relay *Relay
	plan  spread.Plan

	mu sync.Mutex
	// reading are the parts whose prompt is still being read, with the timers
	// that end them.
	reading []*time.Timer
	// begun tells that the first event arrived, or never will.
	begun bool
}

// newWork notes when each part is expected to be read. Without that the reading
// of a part would count until the slowest part is done.
func newWork(r *Relay, p spread.Plan) *work {
	w := &work{relay: r, plan: p, reading: make([]*time.Timer, len(p.Parts))}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, part := range p.Parts {
		w.reading[i] = time.AfterFunc(part.ReadBy, func() { w.read(i) })
	}
	return w
}

// read ends the reading of one part.
func (w *work) read(i int) {
	w.mu.Lock()
	t := w.reading[i]
	w.reading[i] = nil
	w.mu.Unlock()
	if t == nil {
		return
	}
	t.Stop()
	p := w.plan.Parts[i]
	w.relay.loads.Done(p.Server.ID, spread.Load{Read: p.Load.Read})
}

// firstEvent ends the reading of the prompt at all servers. Only now do the
// helpers stop counting it among the parts that they accept at once.
func (w *work) firstEvent() {
	if w.begun {
		return
	}
	w.begun = true
	for i, p := range w.plan.Parts {
		w.read(i)
		w.relay.loads.Done(p.Server.ID, p.Load.Begun())
	}
}

func (w *work) end() {
	w.firstEvent()
	for _, p := range w.plan.Parts {
		w.relay.loads.Done(p.Server.ID, spread.Load{Calls: p.Load.Calls, LongCalls: p.Load.LongCalls, HeldTokens: p.Load.HeldTokens})
	}
}
