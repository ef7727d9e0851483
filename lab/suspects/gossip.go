package suspects

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
)

// tell passes changes on after they were gathered.
func (w *world) tell(i *instance) {
	if i.queued || !i.table.HasChanges() {
		return
	}
	i.queued = true
	w.after(gatherFor, func() {
		i.queued = false
		changes := i.table.TakeChanged()
		peers := w.others(i)
		for _, n := range i.share.PickPeers(len(peers)) {
			w.send(i, w.instances[peers[n]], changes)
		}
	})
}

// others are the indices of the other instances.
func (w *world) others(self *instance) []int {
	out := make([]int, 0, len(w.instances)-1)
	for n, i := range w.instances {
		if i != self {
			out = append(out, n)
		}
	}
	return out
}

// send takes changes to an instance; their times are told as ages.
func (w *world) send(from, to *instance, c poison.Changes) {
	if c.Empty() {
		return
	}
	w.res.Messages++
	w.res.Bytes += endBytes * len(c.Exits)
	for _, r := range c.Records {
		w.res.Bytes += recordBytes + crashBytes*len(r.Crashes)
	}
	if w.rand.Float64() < w.o.Loss {
		return
	}
	sent := w.now()
	w.after(linkDelay+w.exp(linkDelay), func() {
		now := to.clock(w.now())
		by := now - from.clock(sent)
		for _, r := range c.Records {
			to.table.Merge(now, moved(r, by))
		}
		for _, e := range c.Exits {
			to.table.MergeExit(now, poison.ServerExit{Server: e.Server, At: e.At + by})
		}
		w.tell(to)
	})
}

// moved is a record with its times moved to another clock. What the message takes on its
// way makes all that it tells appear later.
func moved(r poison.Record, by time.Duration) poison.Record {
	r.Changed += by
	crashes := make([]poison.Crash, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		crashes = append(crashes, poison.Crash{Server: c.Server, Began: c.Began + by, Ended: c.Ended + by})
	}
	r.Crashes = crashes
	return r
}

// gossip sends a digest to some instances; those that know something else tell it all.
func (w *world) gossip(i *instance) {
	for range min(gossipPeers, len(w.instances)-1) {
		peers := w.others(i)
		to := w.instances[peers[w.rand.IntN(len(peers))]]
		digest := i.table.Digest(i.clock(w.now()))
		if w.rand.Float64() < w.o.Loss {
			continue
		}
		w.after(linkDelay, func() {
			now := to.clock(w.now())
			if to.table.Len() > 0 && to.share.ShouldRepair(now, to.table.Digest(now), digest) {
				w.send(to, i, poison.Changes{Records: to.table.All()})
			}
		})
	}
}

// awaitKnown measures when all instances would refuse a request.
func (w *world) awaitKnown(r *request, third time.Duration) {
	for _, i := range w.instances {
		if v := i.table.Assess(i.clock(w.now()), r.key, len(w.servers)); v.Verdict != poison.Poisonous {
			w.after(5*time.Millisecond, func() { w.awaitKnown(r, third) })
			return
		}
	}
	w.res.Known = append(w.res.Known, w.now()-third)
}
