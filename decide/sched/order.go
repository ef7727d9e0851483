package sched

import (
	"fmt"
	"slices"
	"time"
)

// Work is what an Order knows of a request.
type Work struct {
	Arrived  time.Duration
	Target   time.Duration
	Deadline time.Duration
	// Prefill is the time the uncached prompt needs alone on the engine.
	Prefill time.Duration
	// Gang marks a part of a prompt that holds the memory of several engines.
	Gang bool
	// Total is Prefill plus the time to generate the answer.
	Total time.Duration
}

// Order is the extension point that ranks requests on one engine. Keys are
// instants: the smaller key runs first. A key is fixed on arrival, so a
// waiting request rises by itself as newer keys grow past it.
type Order interface {
	Key(w Work) time.Duration
}

// OrderFunc adapts a function to Order.
type OrderFunc func(Work) time.Duration

// Key implements Order.
func (f OrderFunc) Key(w Work) time.Duration { return f(w) }

var orders = map[string]Order{}

// RegisterOrder adds an order under a name; a duplicate is a defect.
func RegisterOrder(name string, o Order) {
	if _, ok := orders[name]; ok {
		panic(fmt.Sprintf("sched: order %q registered twice", name))
	}
	orders[name] = o
}

// LookupOrder finds a registered order.
func LookupOrder(name string) (Order, bool) { o, ok := orders[name]; return o, ok }

// OrderNames lists the registered orders.
func OrderNames() []string {
	var out []string
	for n := range orders {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Stretch orders by a first-token deadline in proportion to a request's own
// work. Each allowance is how many times its own prefill time a request may
// take before it outranks shorter newcomers.
type Stretch struct {
	// Quick applies to requests with a target, Gang to parts of a prompt whose
	// other parts hold memory meanwhile. Requests that may wait have none: they
	// are ranked by their latest start alone.
	Quick, Gang float64
}

// DefaultStretch holds the values chosen by measurement.
var DefaultStretch = Stretch{Quick: 4, Gang: 1}

// slackMargin is the part of a request's own work kept in reserve when its
// latest start is computed.
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

// Key implements Order. A short request passes a long one; the latest start,
// when it comes first, keeps a long request from being starved past its time.
func (s Stretch) Key(w Work) time.Duration {
	latest := latestStart(w)
	switch {
	case w.Gang:
		return min(w.Arrived+time.Duration(s.Gang*float64(w.Prefill)), latest)
	case patient(w.Target, w.Deadline-w.Arrived):
		return latest
	default:
		return min(w.Arrived+time.Duration(s.Quick*float64(w.Prefill)), latest)
	}
}

// mayWait is the part of the time limit from which a target counts as none.
const mayWait = 0.9

// patient reports whether a request may wait: it has no target of its own for
// the first token.
func patient(target, limit time.Duration) bool {
	return target >= time.Duration(mayWait*float64(limit))
}
