package propagation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/knowledge"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
)

// pollInterval is the resolution of the measurement.
const pollInterval = 10 * time.Millisecond

// maxExamples bounds the cases that a report describes.
const maxExamples = 5

// Report is what was measured.
type Report struct {
	// Acked holds the times from acknowledged to in force of each version at each instance that ran
	// throughout. Answered counts them from the first answer of the store, if that was later.
	Acked, Answered Distribution
	// InTouch holds the times from acknowledged to in force at instances in touch, which the bound is for.
	InTouch Distribution
	// Late counts the versions that were not in force at an instance in touch within the bound,
	// Regressions the instances that went back to an older version within one life, and
	// FalseRefusals the instances whose version was confirmed though a newer one had been acknowledged
	// longer ago than the bound.
	Late, Regressions, FalseRefusals int
	Examples                         []string
	// Unfinished are the instances that run at the end without the newest version.
	Unfinished int
	// StoreCalls and Traffic count what the instances cost.
	StoreCalls int
	Traffic    simnet.Traffic
}

// Broken reports whether something was seen that must not be.
func (r *Report) Broken() bool { return r.Late+r.Regressions+r.FalseRefusals+r.Unfinished > 0 }

// Seen describes some of the cases in which something was broken, a line each.
func (r *Report) Seen() string { return strings.Join(r.Examples, "\n") }

// Add adds what another run measured.
func (r *Report) Add(o *Report) {
	r.Acked = append(r.Acked, o.Acked...)
	r.Answered = append(r.Answered, o.Answered...)
	r.InTouch = append(r.InTouch, o.InTouch...)
	r.Late += o.Late
	r.Regressions += o.Regressions
	r.FalseRefusals += o.FalseRefusals
	r.Unfinished += o.Unfinished
	r.StoreCalls += o.StoreCalls
	r.Traffic.Packets += o.Traffic.Packets
	r.Traffic.Bytes += o.Traffic.Bytes
	r.Traffic.CrossBytes += o.Traffic.CrossBytes
	r.Examples = append(r.Examples, o.Examples...)
}

// String is a line with the figures.
func (r *Report) String() string {
	return fmt.Sprintf("acked %v; answered %v; in touch %v; late %d, regressions %d, false refusals %d, unfinished %d; %d store calls, %.2f MB between instances, %.2f MB of them between data centres",
		r.Acked, r.Answered, r.InTouch, r.Late, r.Regressions, r.FalseRefusals, r.Unfinished, r.StoreCalls, float64(r.Traffic.Bytes)/1e6, float64(r.Traffic.CrossBytes)/1e6)
}

// Distribution is a list of measured times.
type Distribution []time.Duration

// Quantile returns the value below which a share of the times is, zero if there are none.
func (d Distribution) Quantile(q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Max returns the largest time.
func (d Distribution) Max() time.Duration {
	if len(d) == 0 {
		return 0
	}
	return slices.Max(d)
}

// String gives the number of times, their median, 99th percentile and largest.
func (d Distribution) String() string {
	return fmt.Sprintf("%d p50 %v p99 %v max %v", len(d), d.Quantile(0.5).Round(time.Millisecond), d.Quantile(0.99).Round(time.Millisecond), d.Max().Round(time.Millisecond))
}

// acceptance is one accepted version.
type acceptance struct {
	version uint64
	at      time.Time
}

// meter polls the instances of a fleet.
type meter struct {
	fleet *Fleet
	begin time.Time

	mu       sync.Mutex
	accepted []acceptance
	// storeTrouble is the present trouble of the store, and whom it affects; storeChangedAt is when it
	// last changed.
	storeTrouble   simstore.Trouble
	affected       func(string) bool
	storeChangedAt time.Time
	observed       []observed
	report         Report
}

// observed is what was seen of an instance.
type observed struct {
	life *process
	// held is the version in force, next the index of the oldest accepted version that is not.
	held uint64
	next int
	// disturbedAt is when the instance was last in trouble of its own.
	disturbedAt time.Time
	// late and refusing are set while a case is counted.
	late, refusing bool
}

func newMeter(f *Fleet) *meter {
	m := &meter{fleet: f, begin: time.Now(), observed: make([]observed, len(f.instances)), affected: func(string) bool { return false }}
	m.storeChangedAt = m.begin
	for i := range m.observed {
		m.observed[i].disturbedAt = m.begin
	}
	return m
}

// accept has the store accept a version.
func (m *meter) accept(version uint64) {
	at := m.fleet.Store.Accept(version, m.fleet.Site.Size)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = append(m.accepted, acceptance{version, at})
}

// setStoreTrouble puts the store into trouble.
func (m *meter) setStoreTrouble(t simstore.Trouble, affected func(string) bool) {
	m.mu.Lock()
	m.storeTrouble, m.affected, m.storeChangedAt = t, affected, time.Now()
	m.mu.Unlock()
	m.fleet.Store.SetTrouble(t, affected)
}

// lose takes versions out of the measurement that the store lost.
func (m *meter) lose(after uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = slices.DeleteFunc(m.accepted, func(a acceptance) bool { return a.version > after })
	for i := range m.observed {
		m.observed[i].next = min(m.observed[i].next, len(m.accepted))
	}
}

// poll observes every instance once.
func (m *meter) poll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	answered := m.fleet.Store.AnsweredAt()
	for i, in := range m.fleet.instances {
		m.observe(now, answered, in, &m.observed[i])
	}
}

func (m *meter) observe(now, answered time.Time, in *instance, o *observed) {
	p, trouble := in.running.Load(), in.host.Trouble()
	if p == nil || p != o.life || trouble != (simnet.Trouble{}) {
		o.disturbedAt = now
	}
	if p == nil {
		o.life = nil
		return
	}
	if p != o.life {
		o.life, o.held, o.next = p, 0, 0
	}
	bound, inTouch := m.boundOf(now, in, o)
	m.recordVersion(now, answered, in, o, inTouch)
	if o.next >= len(m.accepted) {
		o.late, o.refusing = false, false
		return
	}
	lag := now.Sub(m.accepted[o.next].at)
	if late := inTouch && lag > bound; late != o.late {
		o.late = late
		m.count(late, &m.report.Late, now, in, o, "is late")
	}
	reachable := !trouble.Off && !trouble.Frozen && !trouble.CutIn && !trouble.CutOut
	refusing := reachable && lag > m.fleet.Site.ApplyWithin+m.fleet.Site.Stretch && p.follower.ConfigState() == knowledge.Confirmed
	if refusing != o.refusing {
		o.refusing = refusing
		m.count(refusing, &m.report.FalseRefusals, now, in, o, "refuses for good")
	}
}

// boundOf returns the bound that holds for an instance, and whether one does.
func (m *meter) boundOf(now time.Time, in *instance, o *observed) (bound time.Duration, inTouch bool) {
	site := m.fleet.Site
	if now.Sub(o.disturbedAt) < site.StableAfter {
		return 0, false
	}
	if m.storeTrouble == simstore.Sound && now.Sub(m.storeChangedAt) >= site.StableAfter {
		return site.ApplyWithin, true
	}
	turnedAway := m.storeTrouble == simstore.Silent || m.storeTrouble == simstore.Reset || m.storeTrouble == simstore.Busy
	return site.ApplyWithin + site.Stretch, turnedAway && !m.affected(in.name)
}

// recordVersion records what came into force at an instance since the last poll.
func (m *meter) recordVersion(now, answered time.Time, in *instance, o *observed, inTouch bool) {
	version := uint64(0)
	if t := o.life.follower.Table(); t != nil {
		version = t.Version
	}
	if version < o.held {
		m.count(true, &m.report.Regressions, now, in, o, fmt.Sprintf("went back to version %d", version))
	}
	o.held = version
	for o.next < len(m.accepted) && m.accepted[o.next].version <= version {
		a := m.accepted[o.next]
		o.next++
		took := now.Sub(a.at)
		if inTouch {
			m.report.InTouch = append(m.report.InTouch, took)
		}
		if o.life.startedAt.After(a.at) || o.disturbedAt.After(a.at) {
			continue
		}
		m.report.Acked = append(m.report.Acked, took)
		if answered.After(a.at) {
			took = now.Sub(answered)
		}
		m.report.Answered = append(m.report.Answered, max(0, took))
	}
}

func (m *meter) count(begins bool, n *int, now time.Time, in *instance, o *observed, what string) {
	if !begins {
		return
	}
	*n++
	if len(m.report.Examples) < maxExamples {
		next := acceptance{}
		if o.next < len(m.accepted) {
			next = m.accepted[o.next]
		}
		m.report.Examples = append(m.report.Examples, fmt.Sprintf("%7.3f s: %s %s: holds %d, version %d was acknowledged at %.3f s", now.Sub(m.begin).Seconds(), in.name, what, o.held, next.version, next.at.Sub(m.begin).Seconds()))
	}
}

// finish returns the report.
func (m *meter) finish() *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.observed {
		if o.life != nil && o.next < len(m.accepted) {
			m.report.Unfinished++
		}
	}
	m.report.StoreCalls, m.report.Traffic = m.fleet.Store.Calls(), m.fleet.Net.Traffic()
	slices.SortFunc(m.report.Examples, cmp.Compare[string])
	return &m.report
}
