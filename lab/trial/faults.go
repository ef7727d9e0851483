package trial

import (
	"time"
)

// fault is something that fails and comes back.
type fault struct {
	name  string
	begin func(t *Trial) (end func())
	// lasts is the mean duration.
	lasts time.Duration
}

var faults = []fault{
	{name: "instance killed and replaced", begin: (*Trial).kill, lasts: 8 * time.Second},
	{name: "instance paused", begin: (*Trial).pause, lasts: 12 * time.Second},
	{name: "store down", begin: (*Trial).storeDown, lasts: 10 * time.Second},
	{name: "replies of writes lost", begin: (*Trial).loseReplies, lasts: 8 * time.Second},
	{name: "stale reads", begin: (*Trial).staleReads, lasts: 8 * time.Second},
	{name: "store back from an older copy", begin: (*Trial).storeBackOlder, lasts: 2 * time.Second},
	{name: "link cut", begin: (*Trial).cutLink, lasts: 8 * time.Second},
	{name: "data centre cut off", begin: (*Trial).cutDataCentre, lasts: 10 * time.Second},
	{name: "wall clock jumps", begin: (*Trial).jumpClock, lasts: 5 * time.Second},
}

// injectFault begins one fault, or two at once.
func (t *Trial) injectFault() {
	for range 1 + t.rand.IntN(2) {
		f := faults[t.rand.IntN(len(faults))]
		end := f.begin(t)
		if end == nil {
			continue
		}
		t.Report.Faults[f.name]++
		t.after(time.Second+t.jitter(f.lasts), end)
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

// kill ends an instance; a fresh one of the same name replaces it.
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

// watchDetection measures when every live instance has noticed the death.
func (t *Trial) watchDetection(gone *instance) {
	died := t.now()
	var look func()
	look = func() {
		if t.instances[gone.index] != gone {
			return
		}
		for _, in := range t.instances {
			if in.dead || in.paused {
				continue
			}
			for _, s := range in.table.Alive(in.now()) {
				if s.Name == gone.name {
					t.after(tickEvery, look)
					return
				}
			}
		}
		t.Report.Detection = append(t.Report.Detection, t.now()-died)
	}
	t.after(tickEvery, look)
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

// mostCopyAge is the most that a copy is old when the store comes back from it.
const mostCopyAge = 5 * time.Second

// storeBackOlder takes a copy now, and after some seconds the store is away for a moment
// and comes back from it.
func (t *Trial) storeBackOlder() func() {
	t.store.Copy()
	t.after(time.Duration(t.rand.Int64N(int64(mostCopyAge))), func() { t.store.Down = true })
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

// cutDataCentre separates a third of the instances from the rest.
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
		t.cut[p] = true
	}
	return func() {
		for _, p := range pairs {
			delete(t.cut, p)
		}
	}
}

func (t *Trial) jumpClock() func() {
	in := t.instances[t.rand.IntN(len(t.instances))]
	in.clockJump = time.Duration(t.rand.Int64N(int64(72*time.Hour))) - 36*time.Hour
	return func() { in.clockJump = 0 }
}
