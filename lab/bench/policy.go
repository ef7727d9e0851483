package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/dispatch"
	"github.com/auburnmoor/auburnmoor/decide/sched"
)

// Policy selects the decision code under test: the product, a variant of it or a
// baseline.
type Policy struct {
	Name  string
	About string
	// New returns the state machine of one entry.
	New func(name string, seed uint64) dispatch.Machine
	// ReportAll sends every load report to all entries, not only to the owner.
	ReportAll bool
}

var policies = map[string]Policy{}

// RegisterPolicy adds a policy; it panics on a duplicate name.
func RegisterPolicy(p Policy) {
	if _, ok := policies[p.Name]; ok {
		panic(fmt.Sprintf("bench: policy %q registered twice", p.Name))
	}
	policies[p.Name] = p
}

// PolicyNames returns the sorted names of the registered policies.
func PolicyNames() []string {
	var out []string
	for n := range policies {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Product is the name of the policy that the daemon runs.
const Product = "auburnmoor"

func newVariant(change func(*dispatch.Config)) func(string, uint64) dispatch.Machine {
	return func(name string, seed uint64) dispatch.Machine {
		cfg := dispatch.DefaultConfig()
		change(&cfg)
		return dispatch.NewNode(name, cfg, seed)
	}
}

func init() {
	RegisterPolicy(Policy{Name: Product, About: "what the daemon runs", New: newVariant(func(*dispatch.Config) {})})
	RegisterPolicy(Policy{Name: "round-robin", About: "entries take engines in turn, engines run in order of arrival", New: newBaseline(pickRoundRobin)})
	RegisterPolicy(Policy{Name: "least-outstanding", About: "entries take the engine with the fewest of their own requests", New: newBaseline(pickLeastOutstanding)})
	RegisterPolicy(Policy{Name: "two-reports", About: "power of two choices on lagging load reports", New: newBaseline(pickPowerOfTwo), ReportAll: true})
	for _, order := range []string{"fcfs", "shortest", "slack"} {
		RegisterPolicy(Policy{Name: "order-" + order, About: "the product with the order " + order,
			New: newVariant(func(c *dispatch.Config) { c.Sched.Order = order })})
	}
	sched.RegisterOrder("one-stretch", sched.OrderFunc(orderByUniformStretch))
	RegisterPolicy(Policy{Name: "order-one-stretch", About: "the product with one allowance for all requests",
		New: newVariant(func(c *dispatch.Config) { c.Sched.Order = "one-stretch" })})
	RegisterPolicy(Policy{Name: "patient-whole", About: "the product that admits patient requests for their whole time",
		New: newVariant(func(c *dispatch.Config) { c.Sched.DeferrableShare = 1 })})
	RegisterPolicy(Policy{Name: "no-affinity", About: "the product without prefix affinity",
		New: newVariant(func(c *dispatch.Config) { c.Sched.Affinity = false })})
	RegisterPolicy(Policy{Name: "one-candidate", About: "the product asking one engine only",
		New: newVariant(func(c *dispatch.Config) { c.Candidates = 1 })})
	RegisterPolicy(Policy{Name: "two-candidates", About: "the product asking two engines",
		New: newVariant(func(c *dispatch.Config) { c.Candidates = 2 })})
	RegisterPolicy(Policy{Name: "no-headroom", About: "the product without memory kept for short requests",
		New: newVariant(func(c *dispatch.Config) { c.Sched.Headroom = 0 })})
}

// orderByUniformStretch ranks requests by a target of four times the prefill
// time, capped by the latest start that meets the deadline.
func orderByUniformStretch(w sched.Work) time.Duration {
	return min(w.Arrived+4*w.Prefill, w.Deadline-w.Total)
}
