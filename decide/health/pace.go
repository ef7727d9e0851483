package health

import "time"

// Figures of the judgement of a server's pace.
const (
	// paceEvents is the number of events that are judged together by their
	// shortest pause: reading for others lengthens some of the pauses of a sound
	// server, slowness lengthens all.
	paceEvents = 4
	// slowFactor is how many times the usual pause the shortest one must be. Slow
	// servers take 4 to 5 times as long; sound ones stay below 2 in bursts.
	slowFactor = 3.0
	// paceKnown is the number of judgements after which the usual pause is known.
	paceKnown = 20
	// paceWeight is that of one judgement in the usual pause.
	paceWeight = 0.05
)

// Pace learns how long the pauses between events usually are, in multiples of
// what the servers should take. The zero value has learned nothing.
type Pace struct {
	usual float64
	seen  int
}

// Run is the pauses of one stream that are being judged together.
type Run struct {
	least  float64
	events int
}

// Observe takes a pause and what it should have been, and reports whether the
// stream's server is slow.
func (p *Pace) Observe(r *Run, pause, expected time.Duration) bool {
	if expected <= 0 {
		return false
	}
	ratio := float64(pause) / float64(expected)
	if r.events == 0 || ratio < r.least {
		r.least = ratio
	}
	if r.events++; r.events < paceEvents {
		return false
	}
	least := r.least
	*r = Run{}
	return p.judge(least)
}

func (p *Pace) judge(least float64) bool {
	if p.seen >= paceKnown && least > slowFactor*p.usual {
		return true
	}
	if p.seen++; p.seen == 1 {
		p.usual = least
	}
	p.usual += paceWeight * (least - p.usual)
	return false
}
