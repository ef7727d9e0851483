package suspects

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
	"github.com/auburnmoor/auburnmoor/decide/durable"
)

const (
	// storeTime is how long a read or a write of the store takes.
	storeTime = 4 * time.Millisecond
	// releaseStep is the time between two servers that are replaced.
	releaseStep = 300 * time.Millisecond
)

func versionKey(version int) blame.Version { return blame.VersionOf(fmt.Sprint("v", version)) }

// versions returns the versions of the servers that are up, in order.
func (w *world) versions() (out []int) {
	for _, s := range w.servers {
		if w.now() >= s.downUntil && !slices.Contains(out, s.version) {
			out = append(out, s.version)
		}
	}
	slices.Sort(out)
	return out
}

// release replaces half of the servers, one after the other, by those of the next version. Their requests
// end before.
func (w *world) release() {
	next := slices.MaxFunc(w.servers, func(a, b *server) int { return a.version - b.version }).version + 1
	for n, i := range w.rand.Perm(len(w.servers))[:len(w.servers)/2] {
		w.after(time.Duration(n)*releaseStep, func() {
			s := w.servers[i]
			if len(s.runs) == 0 {
				s.version = next
				return
			}
			w.after(releaseStep, func() { w.replaceEmpty(s, next) })
		})
	}
}

// replaceEmpty replaces a server once it runs nothing.
func (w *world) replaceEmpty(s *server, version int) {
	if len(s.runs) > 0 {
		w.after(releaseStep, func() { w.replaceEmpty(s, version) })
		return
	}
	s.version = version
}

// loseAll ends all instances with their requests and starts new ones.
func (w *world) loseAll() {
	for _, s := range w.servers {
		for _, x := range slices.SortedFunc(maps.Keys(s.runs), func(a, b *run) int { return slices.Compare(a.req.key[:], b.req.key[:]) }) {
			w.removeRun(x)
			w.uncount(x)
		}
	}
	for n, i := range w.instances {
		i.lost = true
		w.instances[n] = w.newInstance()
	}
}

// uncount leaves a request out of the sound ones: it ended with its instance.
func (w *world) uncount(x *run) {
	if x.req.prompt.counted {
		w.res.Parts.Sound--
	}
}

// readRecord restores what the store holds at an instance that starts.
func (w *world) readRecord(i *instance) {
	i.parts.Restore(i.localTime(w.now()), i.fromWorld(w.record))
	i.writer.SetStored(i.localTime(w.now()), stateOf(i).Digest)
}

func stateOf(i *instance) durable.Content {
	s := i.parts.DurableState()
	return durable.Content{Digest: durable.Nothing + s.Digest, Decided: s.Decided}
}

// scheduleWrite has an instance write the record when it is its turn.
func (w *world) scheduleWrite(i *instance) {
	if w.o.Prompts.Parts == 0 || i.lost {
		return
	}
	i.writer.Want(i.localTime(w.now()), stateOf(i))
	after, due := i.writer.Due(i.localTime(w.now()), slices.Index(w.instances, i))
	if !due {
		return
	}
	w.after(after+storeTime, func() {
		if after, due = i.writer.Due(i.localTime(w.now()), slices.Index(w.instances, i)); due && after == 0 && !i.lost {
			w.writeRecord(i)
		}
	})
}

// writeRecord merges what an instance knows with the record and writes it.
func (w *world) writeRecord(i *instance) {
	now := i.localTime(w.now())
	stored := i.fromWorld(w.record)
	i.parts.Restore(now, stored)
	alone := blame.NewTable(blame.Options{})
	alone.Restore(now, stored)
	if alone.DurableState() == i.parts.DurableState() {
		i.writer.SetStored(now, stateOf(i).Digest)
		return
	}
	w.record = i.toWorld(i.parts.Durable(stored, blame.MaxDurableCrashes))
	w.res.Parts.Writes++
	i.writer.Tried(now)
	digest := stateOf(i).Digest
	for _, o := range w.instances {
		w.after(linkDelay+gatherDelay, func() {
			if stateOf(o).Digest == digest {
				o.writer.SetStored(o.localTime(w.now()), digest)
			}
		})
	}
	i.writer.SetStored(now, digest)
}

// useTrial counts a trial in the record before it is run, and reports whether it may be run.
func (w *world) useTrial(i *instance, part blame.Key) bool {
	now := i.localTime(w.now())
	i.parts.Restore(now, i.fromWorld(w.record))
	u := i.parts.NewTrial(now, w.rand.Uint64(), part)
	if !i.parts.MayUse(now, u) {
		return false
	}
	i.parts.MergeUsed(now, u)
	w.writeRecord(i)
	w.scheduleSend(i)
	return true
}

// fromWorld converts the times of a record to the instance's clock, toWorld back.
func (i *instance) fromWorld(d blame.Durable) blame.Durable { return shiftRecord(d, i.localTime(0)) }
func (i *instance) toWorld(d blame.Durable) blame.Durable   { return shiftRecord(d, -i.localTime(0)) }

func shiftRecord(d blame.Durable, by time.Duration) blame.Durable {
	d.Crashes, d.Used = slices.Clone(d.Crashes), slices.Clone(d.Used)
	for n := range d.Crashes {
		d.Crashes[n].At += by
	}
	for n := range d.Used {
		d.Used[n].At += by
	}
	return d
}
