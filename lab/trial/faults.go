package trial

import (
	"time"
)

// fault is a failure that is injected and later repaired.
type fault struct {
	name  string
	begin func(t *Trial) (end func())
	// meanDuration is the mean duration beyond a minimum of one second.
	meanDuration time.Duration
}

var faults = []fault{
	{name: "instance killed and replaced", begin: (*Trial).kill, meanDuration: 8 * time.Second},
	{name: "instance paused", begin: (*Trial).pause, meanDuration: 12 * time.Second},
	{name: "store down", begin: (*Trial).storeDown, meanDuration: 10 * time.Second},
	{name: "replies of writes lost", begin: (*Trial).loseReplies, meanDuration: 8 * time.Second},
	{name: "stale reads", begin: (*Trial).staleReads, meanDuration: 8 * time.Second},
	{name: "store back from an older copy", begin: (*Trial).restoreOldCopy, meanDuration: 2 * time.Second},
	{name: "link cut", begin: (*Trial).cutLink, meanDuration: 8 * time.Second},
	{name: "data centre cut off", begin: (*Trial).cutDataCentre, meanDuration: 10 * time.Second},
	{name: "wall clock jumps", begin: (*Trial).jumpClock, meanDuration: 5 * time.Second},
}

// injectFault begins one or two faults.
func (t *Trial) injectFault() {
	for range 1 + t.rand.IntN(2) {
		f := faults[t.rand.IntN(len(faults))]
		end := f.begin(t)
		if end == nil {
			continue
		}
		t.Report.Faults[f.name]++
		t.after(time.Second+t.jitter(f.meanDuration), end)
	}
}

func (t *Trial) victim() *instance {
	live := 0
	for _, in := range t.instances {
		if !in.dead && !in.paused {
			live++
		}
	}
	in := t.instances[t.rand.IntN(len(t.instances))]
	if live < 2 || in.dead || in.paused {
		return nil
	}
	return in
}

// kill stops an instance; a new incarnation with the same name replaces it.
func (t *Trial) kill() func() {
	in := t.victim()
	if in == nil {
		return nil
	}
	in.dead = true
	t.watchDetection(in)
	return func() {
		fresh := t.newInstance(in.index, in.incarnation+1)
		t.instances[in.index] = fresh
		t.startTicks(fresh)
	}
}

// watchDetection records how long it takes until every live instance considers the
// killed one dead.
func (t *Trial) watchDetection(killed *instance) {
	died := t.now()
	var check func()
	check = func() {
		if t.instances[killed.index] != killed {
			return
		}
		for _, in := range t.instances {
			if in.dead || in.paused {
				continue
			}
			for _, s := range in.table.Alive(in.now()) {
				if s.Name == killed.name {
					t.after(tickInterval, check)
					return
				}
			}
		}
		t.Report.Detection = append(t.Report.Detection, t.now()-died)
	}
	t.after(tickInterval, check)
}

func (t *Trial) pause() func() {
	in := t.victim()
	if in == nil {
		return nil
	}
	in.paused = true
	return func() {
		in.paused = false
		backlog := in.backlog
		in.backlog = nil
		for _, f := range backlog {
			in.do(f)
		}
	}
}

func (t *Trial) storeDown() func() {
	t.store.Down = true
	return func() { t.store.Down = false }
}

// maxCopyAge is the maximum time between the snapshot and the outage of the store.
const maxCopyAge = 5 * time.Second

// restoreOldCopy takes a snapshot now, makes the store unavailable some seconds later,
// and then restores it from the snapshot.
func (t *Trial) restoreOldCopy() func() {
	t.store.Copy()
	t.after(time.Duration(t.rand.Int64N(int64(maxCopyAge))), func() { t.store.Down = true })
	return func() {
		t.store.Down = false
		t.store.Restore()
	}
}

func (t *Trial) loseReplies() func() {
	t.store.LoseReply = 0.5
	return func() { t.store.LoseReply = 0 }
}

func (t *Trial) staleReads() func() {
	t.store.StaleRead = 0.5
	return func() { t.store.StaleRead = 0 }
}

func (t *Trial) cutLink() func() {
	a, b := t.instances[t.rand.IntN(len(t.instances))].name, t.instances[t.rand.IntN(len(t.instances))].name
	return t.cutPairs([][2]string{{a, b}, {b, a}})
}

// cutDataCentre partitions a third of the instances from the rest.
func (t *Trial) cutDataCentre() func() {
	var pairs [][2]string
	dc := t.rand.IntN(3)
	for _, a := range t.instances {
		for _, b := range t.instances {
			if (a.index%3 == dc) != (b.index%3 == dc) {
				pairs = append(pairs, [2]string{a.name, b.name})
			}
		}
	}
	return t.cutPairs(pairs)
}

func (t *Trial) cutPairs(pairs [][2]string) func() {
	for _, p := range pairs {
		t.cutLinks[p] = true
	}
	return func() {
		for _, p := range pairs {
			delete(t.cutLinks, p)
		}
	}
}

func (t *Trial) jumpClock() func() {
	in := t.instances[t.rand.IntN(len(t.instances))]
	in.clockJump = time.Duration(t.rand.Int64N(int64(72*time.Hour))) - 36*time.Hour
	return func() { in.clockJump = 0 }
}
