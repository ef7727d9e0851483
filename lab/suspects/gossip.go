package suspects

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/poison"
)

// scheduleSend sends the pending changes to some peers once gatherDelay has passed.
func (w *world) scheduleSend(i *instance) {
	if !i.table.HasChanges() && !i.parts.HasChanges() {
		return
	}
	w.scheduleCheck(i)
	w.scheduleWrite(i)
	if i.sendPending {
		return
	}
	i.sendPending = true
	w.after(gatherDelay, func() {
		i.sendPending = false
		changes, crashes := i.table.TakeChanged(), i.parts.Take()
		peers := w.peersOf(i)
		for _, n := range i.disseminator.PickPeers(len(peers)) {
			w.send(i, w.instances[peers[n]], changes)
			w.sendCrashes(i, w.instances[peers[n]], crashes)
		}
	})
}

// peersOf returns the indices of the other instances.
func (w *world) peersOf(self *instance) []int {
	out := make([]int, 0, len(w.instances)-1)
	for n, i := range w.instances {
		if i != self {
			out = append(out, n)
		}
	}
	return out
}

// send delivers changes to an instance. Their times travel as ages, since clocks differ.
func (w *world) send(from, to *instance, c poison.Changes) {
	if c.Empty() {
		return
	}
	w.res.Messages++
	w.res.Bytes += exitBytes * len(c.Exits)
	for _, r := range c.Records {
		w.res.Bytes += recordBytes + crashBytes*len(r.Crashes)
	}
	if w.lost(from, to) {
		return
	}
	sent := w.now()
	w.after(linkDelay+w.exp(linkDelay), func() {
		now := to.localTime(w.now())
		offset := now - from.localTime(sent)
		for _, r := range c.Records {
			to.table.Merge(now, shiftTimes(r, offset))
		}
		for _, e := range c.Exits {
			to.table.MergeExit(now, poison.ServerExit{Server: e.Server, At: e.At + offset})
		}
		w.scheduleSend(to)
	})
}

// lost draws whether a message is lost.
func (w *world) lost(from, to *instance) bool {
	return from.side != to.side || w.rand.Float64() < w.o.Loss
}

// digest is that of all that an instance knows.
func (i *instance) digest(now time.Duration) uint64 {
	at := i.localTime(now)
	return i.table.Digest(at) ^ i.parts.Digest(at)
}

// sendCrashes sends what changed about crashes to an instance.
func (w *world) sendCrashes(from, to *instance, c blame.Changes) {
	if c.Empty() {
		return
	}
	w.res.Messages++
	for _, u := range c.Crashes {
		w.res.Bytes += recordBytes + keyBytes*(len(u.Keys)+len(u.Cleared))
	}
	if w.lost(from, to) {
		return
	}
	sent := w.now()
	w.after(linkDelay+w.exp(linkDelay), func() {
		now := to.localTime(w.now())
		offset := now - from.localTime(sent)
		for _, u := range c.Crashes {
			u.At += offset
			to.parts.Merge(now, u)
		}
		for _, t := range c.Trials {
			t.At += offset
			to.parts.MergeTrial(now, t)
		}
		for _, u := range c.Used {
			u.At += offset
			to.parts.MergeUsed(now, u)
		}
		w.scheduleSend(to)
	})
}

// shiftTimes converts the times of a record to another clock. The transit time of the
// message makes every time in it appear later.
func shiftTimes(r poison.Record, offset time.Duration) poison.Record {
	r.Changed += offset
	crashes := make([]poison.Crash, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		crashes = append(crashes, poison.Crash{Server: c.Server, Began: c.Began + offset, Ended: c.Ended + offset})
	}
	r.Crashes = crashes
	return r
}

// sendDigests sends a digest to some peers; those whose table differs send all records.
func (w *world) sendDigests(i *instance) {
	for range min(gossipPeers, len(w.instances)-1) {
		peers := w.peersOf(i)
		to := w.instances[peers[w.rand.IntN(len(peers))]]
		if w.lost(i, to) {
			continue
		}
		digest := i.digest(w.now())
		w.after(linkDelay, func() {
			now := to.localTime(w.now())
			if to.table.Len()+to.parts.Len() > 0 && to.disseminator.ShouldRepair(now, to.digest(w.now()), digest) {
				w.send(to, i, poison.Changes{Records: to.table.All()})
				w.sendCrashes(to, i, to.parts.All())
			}
		})
	}
}

// awaitPropagation records how long after its third crash all instances refuse a request.
func (w *world) awaitPropagation(r *request, thirdCrash time.Duration) {
	for _, i := range w.instances {
		if v := i.table.Assess(i.localTime(w.now()), r.key, len(w.servers), nil); v.Verdict != poison.Poisonous {
			w.after(5*time.Millisecond, func() { w.awaitPropagation(r, thirdCrash) })
			return
		}
	}
	w.res.PropagationTimes = append(w.res.PropagationTimes, w.now()-thirdCrash)
}
