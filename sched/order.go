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

// stretchAllowance is how many times its own prefill time a request may take
// to its first token before it outranks shorter newcomers.
const stretchAllowance = 4

// slackMargin is the part of a request's own work kept in reserve when its
// latest start is computed.
const slackMargin = 1.25

func init() {
	RegisterOrder("fcfs", OrderFunc(func(w Work) time.Duration { return w.Arrived }))
	RegisterOrder("shortest", OrderFunc(func(w Work) time.Duration { return w.Prefill }))
	RegisterOrder("slack", OrderFunc(latestStart))
	RegisterOrder("stretch", OrderFunc(stretch))
}

func latestStart(w Work) time.Duration {
	return w.Deadline - time.Duration(float64(w.Total)*slackMargin)
}

// stretch orders by a first-token deadline in proportion to the request's own
// work, so a short request passes a long one, and by the latest start when
// that comes first, so a long request is not starved past its time.
func stretch(w Work) time.Duration {
	return min(w.Arrived+stretchAllowance*w.Prefill, latestStart(w))
}
