package passes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Customers describes the customers of a load, who send equal parts of its requests.
type Customers struct {
	// Count is the number of customers; with zero, requests belong to nobody.
	Count int `toml:"count" validate:"min=0,max=500"`
	// Greedy is how many times its part the first customer sends from GreedyAfter on; 1 or less for none.
	Greedy      float64           `toml:"greedy" validate:"min=0"`
	GreedyAfter settings.Duration `toml:"greedy_after"`
	// FairShares switches decide/fairshare on.
	FairShares bool `toml:"fair_shares"`
	// Settle is the time after GreedyAfter from which the value of each customer counts.
	Settle settings.Duration `toml:"settle"`
}

// Seeds of the random streams for customers, which leave the draws of the load itself as they are.
const (
	customerStream = 1 << 16
	greedyStream   = 1 << 17
)

// customerKey is the key of the i-th customer in load reports.
func customerKey(i int) uint32 { return admission.CustomerKey(fmt.Sprintf("customer-%d", i)) }

// customer returns the draw of the customer of each request of a kind.
func (w *world) customer(seed uint64, kind int) func() int {
	count := w.load.Customers.Count
	if count == 0 {
		return func() int { return noCustomer }
	}
	r := rand.New(rand.NewPCG(seed, uint64(customerStream+kind)))
	return func() int { return r.IntN(count) }
}

// noCustomer is the customer of requests that belong to nobody.
const noCustomer = -1

// greedyArrivals draws the requests of a kind that the first customer sends beyond its part.
func (w *world) greedyArrivals(seed uint64, kind int, res *Result, length time.Duration, rate float64) {
	c := w.load.Customers
	if c.Count == 0 || c.Greedy <= 1 {
		return
	}
	extra := arrivals{
		kind: &w.load.Kinds[kind], result: res, prefix: "greedy-", from: c.GreedyAfter.Std(), length: length,
		rate: rate * (c.Greedy - 1) / float64(c.Count), customer: func() int { return 0 },
	}
	w.draw(extra, rand.New(rand.NewPCG(seed, uint64(greedyStream+kind))))
}

// countsForCustomer reports whether the value of a request counts in Summary.Customers.
func (w *world) countsForCustomer(q *request) bool {
	return q.customer != noCustomer && q.arrived >= (w.load.Customers.GreedyAfter+w.load.Customers.Settle).Std()
}

// fairness is the part of an instance that keeps shares; nil without FairShares.
type fairness struct{ table *fairshare.Table }

func newFairness(c Customers) *fairness {
	if !c.FairShares {
		return nil
	}
	return &fairness{table: fairshare.NewTable()}
}

func (f *fairness) place(now time.Duration, q *request, plan spread.Plan) {
	if f == nil || q.customer == noCustomer {
		return
	}
	f.table.Place(now, customerKey(q.customer), plan.Prefill())
}

func (f *fairness) wait(q *request, deep bool, n int) {
	if f != nil && q.customer != noCustomer {
		f.table.Wait(customerKey(q.customer), deep, n)
	}
}

func (f *fairness) over(now time.Duration, q *request) bool {
	return f != nil && q.customer != noCustomer && f.table.Over(now, customerKey(q.customer))
}

func (f *fairness) check(now time.Duration, q *request, deep bool, waited, maxHold time.Duration) admission.Decision {
	if f == nil || q.customer == noCustomer {
		return admission.Decision{}
	}
	return f.table.Check(now, admission.Request{
		Customer: customerKey(q.customer), Deep: deep, Waited: waited, MaxHold: maxHold, FirstTarget: q.kind.First.Std(),
	})
}

// report returns the function that has another instance apply the usage in a report of an instance.
func (f *fairness) report(n *instance, complete bool, w spread.Waiting) (apply func(o *instance)) {
	if f == nil {
		return func(*instance) {}
	}
	var usage []fairshare.Usage
	if complete || w.HasFirst || w.ForSlot > 0 {
		usage = f.table.TakeReport(n.Now(), complete)
	}
	waits := w.HasFirst && !w.First.OverShare
	return func(o *instance) { o.fairness.table.ApplyReport(o.Now(), n.name, usage, waits) }
}

// completeInterval is the interval of complete reports.
const completeInterval = 700 * time.Millisecond

// reportUsage sends complete reports of usage until the end of the run.
func (n *instance) reportUsage() {
	n.After(completeInterval, func() {
		n.fairness.table.Expire(n.Now())
		apply := n.fairness.report(n, true, n.queue.LocalState(n.Now()))
		n.After(n.load.Peers.Std(), func() {
			for _, o := range n.instances {
				if o != n {
					apply(o)
				}
			}
		})
		n.reportUsage()
	})
}

// startFairness starts the reports of all instances, at different times.
func (w *world) startFairness(seed uint64) {
	if !w.load.Customers.FairShares {
		return
	}
	r := rand.New(rand.NewPCG(seed, math.MaxUint32))
	for _, n := range w.instances {
		w.After(time.Duration(r.Int64N(int64(completeInterval))), n.reportUsage)
	}
}

// holdCount is the change of the number of held requests when one begins to be held, or ends to be.
func holdCount(onHold bool) int {
	if onHold {
		return 1
	}
	return -1
}

// Greedy returns the value earned by the first customer, which is the greedy one if there is one.
func (s Summary) Greedy() float64 {
	if len(s.Customers) == 0 {
		return 0
	}
	return s.Customers[0].Earned
}

// Others returns the value earned by the other customers.
func (s Summary) Others() (sum float64) {
	for i, c := range s.Customers {
		if i > 0 {
			sum += c.Earned
		}
	}
	return sum
}

// customersLine describes the values of customers, or is empty without any.
func (s Summary) customersLine() string {
	if len(s.Customers) < 2 {
		return ""
	}
	mean := s.Others() / float64(len(s.Customers)-1)
	return fmt.Sprintf("%d customers: the first earned %.1f, the others %.1f on average", len(s.Customers), s.Greedy(), mean)
}
