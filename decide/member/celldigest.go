package member

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/cell"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/internal/digest"
	"github.com/auburnmoor/auburnmoor/internal/set"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// The members of a cell hear each other directly. To an instance of another cell, two of them
// report the whole cell as alive by a digest, so that the number of messages to an instance grows
// with the number of cells and not with that of instances. An instance that derives another digest
// from its own table requests the list of the live members and the entries that it lacks.

// Timing and size of the reports.
const (
	// digestInterval is the mean interval of the digests that one instance sends to another, and
	// changedInterval the least one, before a digest that differs from the last.
	digestInterval  = 2 * time.Second
	changedInterval = 700 * time.Millisecond
	// digestSenders is the number of members of a cell that report it to the same instance. One
	// of them may be lost without notice for two seconds.
	digestSenders = 2
	// maxRoster is the number of life hashes that fit into a datagram with the other fields.
	maxRoster = 110
	// evidenceAge is subtracted from the time of a digest as a sign of life: its sender may not
	// have noticed yet that a member is silent which another one has reported.
	evidenceAge = time.Second
	// confirmAfter is the further silence after which the word of one member is enough, as it is
	// unlikely to have lost that many packets in a row.
	confirmAfter = 700 * time.Millisecond
	// silentWindow is how long digests repeat that a member fell silent, in case that earlier
	// reports were lost.
	silentWindow = 10 * time.Second
	maxSilent    = 40
)

// lifeHash returns the hash of a name and an incarnation.
func lifeHash(name string, incarnation uint64) uint64 {
	var d digest.Fields
	d.Reset()
	d.AddText(name)
	d.AddNumbers(incarnation)
	return d.Sum64()
}

// CellDigests returns the digest of this instance's cell and the instances to which it is sent
// now: those for which this instance is among the digestSenders of its cell. It returns nil if none
// is due. Cell peers get it too, to learn of members that they lack.
func (t *Table) CellDigests(now time.Duration) (to []string, report *peerpb.CellDigest) {
	if len(t.cellPeers) == 0 {
		return nil, nil
	}
	sum := sumOf(t.livesIn(now, t.neighbours.Range))
	pause := t.digestPause
	if sum != t.lastDigest {
		pause = min(pause, changedInterval)
	}
	if now-t.digestedAt < pause {
		return nil, nil
	}
	t.digestedAt, t.lastDigest = now, sum
	t.digestPause = digestInterval/2 + time.Duration(t.rand.Int64N(int64(digestInterval)))
	report = &peerpb.CellDigest{Range: encodeRange(t.neighbours.Range), Digest: sum}
	t.addSilent(now, report)
	return t.digestReceivers(now), report
}

// digestReceivers returns the live members to which this instance reports its cell.
func (t *Table) digestReceivers(now time.Duration) (to []string) {
	witnesses := t.liveCell(now)
	for _, e := range t.order {
		if t.alive(now, e) && place.InTop(t.self.Name, e.name, witnesses, digestSenders) {
			to = append(to, e.name)
		}
	}
	return to
}

// liveCell returns the names of self and of its live cell peers.
func (t *Table) liveCell(now time.Duration) []string {
	out := []string{t.self.Name}
	for _, name := range t.neighbours.CellPeers {
		if e := t.entries[name]; e != nil && t.alive(now, e) {
			out = append(out, name)
		}
	}
	return out
}

// livesIn returns the life hashes of the live members whose names have hashes in a range.
func (t *Table) livesIn(now time.Duration, r cell.HashRange) (out []uint64) {
	if r.Contains(cell.HashOf(t.self.Name)) {
		out = append(out, lifeHash(t.self.Name, t.self.Incarnation))
	}
	for _, e := range t.order {
		if r.Contains(e.nameHash) && t.alive(now, e) {
			out = append(out, e.life)
		}
	}
	return out
}

func sumOf(hashes []uint64) (sum uint64) {
	for _, h := range hashes {
		sum += h
	}
	return sum
}

// addSilent adds the cell peers that fell silent lately to a digest.
func (t *Table) addSilent(now time.Duration, d *peerpb.CellDigest) {
	for _, name := range t.neighbours.CellPeers {
		e := t.entries[name]
		if e == nil || e.contact || t.alive(now, e) || !t.heardLately(now, e) || len(d.Silent) >= maxSilent {
			continue
		}
		since := now - e.heard - t.failAfterOf(e)
		d.Silent = append(d.Silent, e.life)
		d.SilentMs = append(d.SilentMs, uint32(max(0, since).Milliseconds()))
	}
}

// ReceiveCellDigest applies the digest of another cell. If its live members are those known here,
// it is a sign of life of all of them. Otherwise it returns a request for the list to send
// back, or nil.
func (t *Table) ReceiveCellDigest(now time.Duration, d *peerpb.CellDigest) *peerpb.CellRequest {
	r := decodeRange(d.Range)
	t.recordDistantSilence(now, d)
	known := t.livesIn(now, r)
	if sumOf(known) == d.Digest {
		t.hearAll(now, known)
		return nil
	}
	if len(known) > maxRoster {
		return nil
	}
	return &peerpb.CellRequest{Range: d.Range, Known: known}
}

// recordDistantSilence records which distant members fell silent. Signs of life since the
// sender noticed it stay valid.
func (t *Table) recordDistantSilence(now time.Duration, d *peerpb.CellDigest) {
	if len(d.Silent) == 0 || len(d.Silent) != len(d.SilentMs) {
		return
	}
	for _, e := range t.order {
		i := slices.Index(d.Silent, e.life)
		if i < 0 || !e.distant || e.contact {
			continue
		}
		since := time.Duration(d.SilentMs[i]) * time.Millisecond
		if since < confirmAfter {
			continue
		}
		noticed := now - since
		e.silentSince = max(e.silentSince, noticed-silenceMargin)
	}
}

// AnswerCellRequest returns the list of the live members in the requested range, and the full
// entries of those that the sender does not know.
func (t *Table) AnswerCellRequest(now time.Duration, r *peerpb.CellRequest) (*peerpb.CellRoster, []*peerpb.MemberState) {
	asked := decodeRange(r.Range)
	roster := &peerpb.CellRoster{Live: t.livesIn(now, asked)}
	roster.Live = roster.Live[:min(maxRoster, len(roster.Live))]
	known := set.Of(r.Known)
	var states []*peerpb.MemberState
	for _, e := range t.order {
		if asked.Contains(e.nameHash) && t.alive(now, e) && !known[e.life] {
			states = append(states, renderFull(now, e))
		}
	}
	return roster, states
}

// ReceiveCellRoster applies a list of live members as signs of life.
func (t *Table) ReceiveCellRoster(now time.Duration, r *peerpb.CellRoster) { t.hearAll(now, r.Live) }

// hearAll records a sign of life of all members of other cells with the life hashes. Cell peers
// are heard directly: if they counted as alive by each other's digests, a dead one would forever.
func (t *Table) hearAll(now time.Duration, lives []uint64) {
	live := set.Of(lives)
	for _, e := range t.order {
		if live[e.life] && !e.contact && !t.cellPeers[e.name] {
			e.heard = max(e.heard, now-evidenceAge)
		}
	}
}

func encodeRange(r cell.HashRange) *peerpb.HashRange {
	return &peerpb.HashRange{From: r.From, Until: r.Until}
}

func decodeRange(r *peerpb.HashRange) cell.HashRange {
	return cell.HashRange{From: r.GetFrom(), Until: r.GetUntil()}
}
