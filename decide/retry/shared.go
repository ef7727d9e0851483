package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Margins of a shared budget.
const (
	// ratioMargin and extraMargin scale down Config.Ratio and Config.Extra: instances learn of
	// each other with a delay, and the retries of a window are earned a little before it.
	ratioMargin = 0.95
	extraMargin = 0.95
	// deviations bounds what the random phases of the instances add up to, in units of the
	// square root of their number.
	deviations = 3
	// earningIntervals is the number of intervals of a window; what the requests of an interval
	// allow can be used until the end of the next one.
	earningIntervals = 40
	// arrivalDelay is the time within which a retry that was taken reaches its server.
	arrivalDelay = 500 * time.Millisecond
	// settleTime is the time within which the instances learn of a new one.
	settleTime = 2500 * time.Millisecond
	// maxIncomplete is how long after its start a process waits for instances that it has not
	// heard from: their entries may be stale.
	maxIncomplete = time.Minute
)

// Config bounds the retries of all instances together.
type Config struct {
	// Window is the length of the time spans in each of which retries are bounded.
	Window time.Duration
	// Ratio is the number of retries for each request, Extra the number besides in a window.
	Ratio, Extra float64
}

// Fleet is what a process knows of the instances that share a budget.
type Fleet struct {
	// Size is the number of instances, including those that may only be out of sight, Rank
	// the position of this one among them, which is the same at all of them.
	Size, Rank int
	// Incomplete is set while there may be instances that this one has not heard from.
	Incomplete bool
}

// Shared is the part of one process in a budget that the instances of a fleet share without
// asking each other. All parts stay within the budget whatever happens to the instances: a
// process saves next to nothing of what its requests allow, so that a new one can repeat
// nothing, and uses its part of Extra only once that of its predecessor is out of the window.
// Requests allow fractions of a retry, which each process adds up from a random phase on: what
// processes that end have not used, and what new ones have not earned, balance each other.
//
// Times are those since the start of the process. A Shared is not safe for concurrent use.
type Shared struct {
	cfg    Config
	fleet  Fleet
	earned earnings
	// usableFrom is when this process may use its part of Extra.
	usableFrom time.Duration
	// spent are the times at which that part was used, within the last window.
	spent  []time.Duration
	denied uint64
}

// NewShared returns the part of a process that has just started. With firstStart no process
// before it can have made retries.
func NewShared(cfg Config, firstStart bool, r *rand.Rand) *Shared {
	s := &Shared{cfg: cfg, usableFrom: settleTime, earned: earnings{interval: max(cfg.Window/earningIntervals, 1), fraction: r.Float64()}}
	if !firstStart {
		s.usableFrom += cfg.Window
	}
	s.SetFleet(Fleet{Size: 1})
	return s
}

// SetFleet sets the instances that share the budget.
func (s *Shared) SetFleet(f Fleet) { s.fleet = f }

// ExtraShare is the part of Extra that belongs to this instance.
func (s *Shared) ExtraShare() int {
	size := float64(max(1, s.fleet.Size))
	// Delays and phases are independent of each other.
	whole := s.cfg.Extra - math.Hypot((1-extraMargin)*s.cfg.Extra, deviations*math.Sqrt(size))
	// The ranks make the rounded parts add up to the whole.
	return max(0, int(math.Floor((whole+float64(s.fleet.Rank))/size)))
}

// AddRequest counts a request, without its retries.
func (s *Shared) AddRequest(now time.Duration) { s.earned.add(now, ratioMargin*s.cfg.Ratio) }

// Allows reports whether a retry is allowed now.
func (s *Shared) Allows(now time.Duration) bool {
	return s.earned.available(now) || s.extraAvailable(now)
}

// Take counts a retry if it is allowed.
func (s *Shared) Take(now time.Duration) bool {
	switch {
	case s.earned.available(now):
		s.earned.take()
	case s.extraAvailable(now):
		s.spent = append(s.spent, now)
	default:
		s.denied++
		return false
	}
	return true
}

func (s *Shared) extraAvailable(now time.Duration) bool {
	for len(s.spent) > 0 && now-s.spent[0] > s.cfg.Window+arrivalDelay {
		s.spent = s.spent[1:]
	}
	if now < s.usableFrom || s.fleet.Incomplete && now < maxIncomplete {
		return false
	}
	return len(s.spent) < s.ExtraShare()
}

// Denied returns the number of denied retries.
func (s *Shared) Denied() uint64 { return s.denied }

// earnings are the retries that recent requests allow.
type earnings struct {
	interval time.Duration
	// fraction is the part of the next retry that is earned, less than one.
	fraction float64
	// current and previous are the retries earned in the interval head and in the one before it
	// that were not made.
	current, previous int
	head              int64
}

func (e *earnings) advance(now time.Duration) {
	head := int64(now / e.interval)
	switch head - e.head {
	case 0:
		return
	case 1:
		e.previous = e.current
	default:
		e.previous = 0
	}
	e.current, e.head = 0, head
}

func (e *earnings) add(now time.Duration, n float64) {
	e.advance(now)
	e.fraction += n
	for ; e.fraction >= 1; e.fraction-- {
		e.current++
	}
}

func (e *earnings) available(now time.Duration) bool {
	e.advance(now)
	return e.previous+e.current > 0
}

// take uses the oldest retry.
func (e *earnings) take() {
	if e.previous > 0 {
		e.previous--
		return
	}
	e.current--
}
