package loads

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// tick is the unit of times in reports of work.
const tick = 100 * time.Microsecond

// encodeWork puts the work on servers into the columns of a report.
func encodeWork(r *peerpb.LoadReport, work map[spread.Key]spread.Work) {
	for server, w := range work {
		r.Servers = append(r.Servers, uint32(server))
		r.Calls = append(r.Calls, uint32(max(0, w.Calls)))
		r.LongCalls = append(r.LongCalls, uint32(max(0, w.DeepCalls)))
		r.HeldTokens = append(r.HeldTokens, uint64(max(0, w.HeldTokens)))
		r.Parts = append(r.Parts, uint32(max(0, w.Parts)))
		r.Unread = append(r.Unread, ticks(w.UnconfirmedPrefill))
		r.Reads = append(r.Reads, uint32(len(w.Prefills)))
		for _, part := range w.Prefills {
			r.Read = append(r.Read, ticks(part.Duration))
			r.Due = append(r.Due, ticks(part.ExpectedEnd))
		}
	}
	r.Calls, r.LongCalls, r.HeldTokens = unlessZeros(r.Calls), unlessZeros(r.LongCalls), unlessZeros(r.HeldTokens)
	r.Parts, r.Unread, r.Reads = unlessZeros(r.Parts), unlessZeros(r.Unread), unlessZeros(r.Reads)
}

func ticks(d time.Duration) uint32 { return uint32(max(0, (d+tick/2)/tick)) }

func unlessZeros[T uint32 | uint64](column []T) []T {
	if slices.ContainsFunc(column, func(v T) bool { return v != 0 }) {
		return column
	}
	return nil
}

// decodeWork reads the columns of a report. It returns false for a report whose columns
// do not fit each other.
func decodeWork(r *peerpb.LoadReport) (map[spread.Key]spread.Work, bool) {
	n := len(r.Servers)
	fits := func(column int) bool { return column == 0 || column == n }
	if !fits(len(r.Calls)) || !fits(len(r.LongCalls)) || !fits(len(r.HeldTokens)) || !fits(len(r.Parts)) || !fits(len(r.Unread)) || !fits(len(r.Reads)) {
		return nil, false
	}
	out := make(map[spread.Key]spread.Work, n)
	next := 0
	for i, server := range r.Servers {
		w := spread.Work{Load: spread.Load{
			Calls: int64(at(r.Calls, i)), DeepCalls: int64(at(r.LongCalls, i)), HeldTokens: int64(at(r.HeldTokens, i)),
			Parts: int64(at(r.Parts, i)), UnconfirmedPrefill: time.Duration(at(r.Unread, i)) * tick,
		}}
		reads := int(at(r.Reads, i))
		if next+reads > min(len(r.Read), len(r.Due)) {
			return nil, false
		}
		for ; reads > 0; reads-- {
			w.Prefills = append(w.Prefills, spread.Prefill{Duration: time.Duration(r.Read[next]) * tick, ExpectedEnd: time.Duration(r.Due[next]) * tick})
			next++
		}
		out[spread.Key(server)] = w
	}
	return out, true
}

// at is a value of a column; one that is left out has zeros.
func at[T uint32 | uint64](column []T, i int) T {
	if len(column) == 0 {
		return 0
	}
	return column[i]
}

// encodeAway puts the servers that turned work away into a report.
func encodeAway(r *peerpb.LoadReport, servers map[away.Key]time.Duration) {
	for server, left := range servers {
		r.Away = append(r.Away, uint32(server))
		r.AwayMs = append(r.AwayMs, uint32(left.Milliseconds()))
	}
}

// decodeAway reads them. It returns false for a report whose columns do not fit each other.
func decodeAway(r *peerpb.LoadReport) (map[away.Key]time.Duration, bool) {
	if len(r.Away) != len(r.AwayMs) {
		return nil, false
	}
	out := make(map[away.Key]time.Duration, len(r.Away))
	for i, server := range r.Away {
		out[away.Key(server)] = time.Duration(r.AwayMs[i]) * time.Millisecond
	}
	return out, true
}
