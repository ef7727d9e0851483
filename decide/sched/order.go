package sched

import (
	"fmt"
	"slices"
	"time"
)

// Work is the input of an Order.
type Work struct {
	Arrived  time.Duration
	Target   time.Duration
	Deadline time.Duration
	// Prefill is the time that the uncached prompt needs alone on the engine.
	Prefill time.Duration
	// Gang marks a part of a prompt that spans several engines.
	Gang bool
	// Total is Prefill plus the time to generate the answer.
	Total time.Duration
}

// Order is the extension point that orders requests on one engine. Keys are
// points in time; the smallest key runs first. A key is fixed on arrival, so a
// waiting request moves ahead as the keys of newer requests increase.
type Order interface {
	Key(w Work) time.Duration
}

// OrderFunc adapts a function to Order.
type OrderFunc func(Work) time.Duration

// Key implements Order.
func (f OrderFunc) Key(w Work) time.Duration { return f(w) }

var orders = map[string]Order{}

// RegisterOrder registers an order under a name and panics on a duplicate.
func RegisterOrder(name string, o Order) {
	if _, ok := orders[name]; ok {
		panic(fmt.Sprintf("sched: order %q registered twice", name))
	}
	orders[name] = o
}

// LookupOrder returns the order registered under a name.
func LookupOrder(name string) (Order, bool) { o, ok := orders[name]; return o, ok }

// OrderNames returns the names of the registered orders, sorted.
func OrderNames() []string {
	var out []string
	for n := range orders {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Stretch orders by a first-token deadline proportional to a request's own work.
// Its fields are the multiples of its own prefill time that a request may wait
// before it precedes newly arriving shorter requests.
type Stretch struct {
	// Interactive applies to requests with a first-token target, Gang to parts of
	// gangs, whose other parts hold memory meanwhile. Deferrable requests have no
	// such multiple: their key is their latest start.
	Interactive, Gang float64
}

// DefaultStretch holds the default multiples.
var DefaultStretch = Stretch{Interactive: 4, Gang: 1}

// slackMargin is the factor by which a request's own time is overestimated when
// its latest start is computed.
const slackMargin = 1.25

func init() {
	RegisterOrder("fcfs", OrderFunc(func(w Work) time.Duration { return w.Arrived }))
	RegisterOrder("shortest", OrderFunc(func(w Work) time.Duration { return w.Prefill }))
	RegisterOrder("slack", OrderFunc(latestStart))
	RegisterOrder("stretch", DefaultStretch)
}

func latestStart(w Work) time.Duration {
	return w.Deadline - time.Duration(float64(w.Total)*slackMargin)
}

// Key implements Order. Short requests precede long ones; the latest start keeps
// a long request from being starved past its deadline.
func (s Stretch) Key(w Work) time.Duration {
	latest := latestStart(w)
	switch {
	case w.Gang:
		return min(w.Arrived+time.Duration(s.Gang*float64(w.Prefill)), latest)
	case isDeferrable(w.Target, w.Deadline-w.Arrived):
		return latest
	default:
		return min(w.Arrived+time.Duration(s.Interactive*float64(w.Prefill)), latest)
	}
}

// deferrableTargetShare is the share of the time limit from which a first-token
// target counts as none.
const deferrableTargetShare = 0.9

// isDeferrable reports whether a request has no first-token target below its
// time limit and can therefore wait.
func isDeferrable(target, limit time.Duration) bool {
	return target >= time.Duration(deferrableTargetShare*float64(limit))
}
