package loads

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// KeepShares makes this instance count the usage of customers, report it to its cell peers and apply fair
// shares to the order of held prompts. It must be called before the module starts.
func (l *Loads) KeepShares() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = fairshare.NewTable()
}

// RecordUsage records the prefill of a placed request for its customer.
func (l *Loads) RecordUsage(customer uint32, p spread.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares != nil {
		l.shares.Place(l.now(), customer, p.Prefill())
	}
}

// HoldFor adds n to the requests of a customer that this instance holds, deep prompts or others.
func (l *Loads) HoldFor(customer uint32, deep bool, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares != nil {
		l.shares.Wait(customer, deep, n)
	}
}

// OverShare reports whether a customer uses more than its share.
func (l *Loads) OverShare(customer uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares != nil && l.shares.Over(l.now(), customer)
}

// Check implements admission.Check by the shares of customers.
func (l *Loads) Check(now time.Duration, r admission.Request) admission.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares == nil {
		return admission.Decision{}
	}
	return l.shares.Check(now, r)
}

// addUsage adds the usage of customers to a complete report, and to one of changes while requests are held.
// l.mu must be held.
func (l *Loads) addUsage(now time.Duration, r *peerpb.LoadReport, w spread.Waiting) {
	if l.shares == nil || !r.Complete && w == (spread.Waiting{}) {
		return
	}
	encodeUsage(r, l.shares.TakeReport(now, r.Complete))
}

// applyUsage applies the usage in a report of a cell peer. l.mu must be held.
func (l *Loads) applyUsage(now time.Duration, from string, r *peerpb.LoadReport) {
	if l.shares != nil {
		l.shares.ApplyReport(now, from, decodeUsage(r), r.Held != nil && !r.Held.OverShare)
	}
}

// expireShares forgets silent peers, and logs the customers that use more than their share while others wait
// or are no longer over it.
func (l *Loads) expireShares() {
	l.mu.Lock()
	if l.shares == nil {
		l.mu.Unlock()
		return
	}
	now := l.now()
	l.shares.Expire(now)
	changes := l.shares.TakeChanges(now)
	names := l.customerNames()
	l.mu.Unlock()
	for _, c := range changes {
		l.logShare(names[c.Customer], c)
	}
}

func (l *Loads) logShare(customer string, c fairshare.Change) {
	fields := []zap.Field{zap.String("customer", customer), zap.Duration("usage", c.Usage), zap.Duration("share", c.Share)}
	if c.Over {
		l.log.Info("customer uses more than its share while others wait", fields...)
		return
	}
	l.log.Info("customer is within its share again", fields...)
}

// customerNames returns the configured customers by their keys.
func (l *Loads) customerNames() map[uint32]string {
	names := map[uint32]string{}
	table := l.catalog.Table()
	if table == nil {
		return names
	}
	for _, c := range table.Customers {
		names[admission.CustomerKey(c.Name)] = c.Name
	}
	return names
}

// CustomerDump is the usage of one customer by the prompts of all instances of the cell.
type CustomerDump struct {
	Customer string `json:"customer"`
	UsageMS  int64  `json:"usage_ms"`
	ShareMS  int64  `json:"share_ms"`
	Over     bool   `json:"over,omitempty"`
	// Held counts its requests that this instance holds.
	Held int `json:"held,omitempty"`
}

// dumpShares returns the customers with the most usage. l.mu must be held.
func (l *Loads) dumpShares() (out []CustomerDump) {
	if l.shares == nil {
		return nil
	}
	names := l.customerNames()
	for _, s := range l.shares.Status(l.now()) {
		out = append(out, CustomerDump{names[s.Customer], s.Prefill.Milliseconds(), s.Share.Milliseconds(), s.Over, s.Waiting})
	}
	return out
}
