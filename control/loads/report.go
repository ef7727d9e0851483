package loads

import (
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/away"
	"github.com/auburnmoor/auburnmoor/decide/fairshare"
	"github.com/auburnmoor/auburnmoor/decide/spread"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// durationUnit is the unit of durations in load reports.
const durationUnit = 100 * time.Microsecond

// encodeWork encodes the work on servers as the columns of a report.
func encodeWork(r *peerpb.LoadReport, work map[spread.Key]spread.Work) {
	for server, w := range work {
		r.Servers = append(r.Servers, uint32(server))
		r.Calls = append(r.Calls, uint32(max(0, w.Calls)))
		r.LongCalls = append(r.LongCalls, uint32(max(0, w.DeepCalls)))
		r.HeldTokens = append(r.HeldTokens, uint64(max(0, w.HeldTokens)))
		r.Parts = append(r.Parts, uint32(max(0, w.Parts)))
		r.Unread = append(r.Unread, durationUnits(w.UnconfirmedPrefill))
		r.Reads = append(r.Reads, uint32(len(w.Prefills)))
		for _, part := range w.Prefills {
			r.Read = append(r.Read, durationUnits(part.Duration))
			r.Due = append(r.Due, durationUnits(part.ExpectedEnd))
		}
	}
	r.Calls, r.LongCalls, r.HeldTokens = omitZeros(r.Calls), omitZeros(r.LongCalls), omitZeros(r.HeldTokens)
	r.Parts, r.Unread, r.Reads = omitZeros(r.Parts), omitZeros(r.Unread), omitZeros(r.Reads)
}

func durationUnits(d time.Duration) uint32 { return uint32(max(0, (d+durationUnit/2)/durationUnit)) }

// omitZeros returns nil for a column of zeros, which is omitted on the wire.
func omitZeros[T uint32 | uint64](column []T) []T {
	if slices.ContainsFunc(column, func(v T) bool { return v != 0 }) {
		return column
	}
	return nil
}

// decodeWork decodes the columns of a report. It returns false if their lengths are
// inconsistent.
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
			Calls: int64(valueAt(r.Calls, i)), DeepCalls: int64(valueAt(r.LongCalls, i)), HeldTokens: int64(valueAt(r.HeldTokens, i)),
			Parts: int64(valueAt(r.Parts, i)), UnconfirmedPrefill: time.Duration(valueAt(r.Unread, i)) * durationUnit,
		}}
		prefills := int(valueAt(r.Reads, i))
		if next+prefills > min(len(r.Read), len(r.Due)) {
			return nil, false
		}
		for ; prefills > 0; prefills-- {
			w.Prefills = append(w.Prefills, spread.Prefill{Duration: time.Duration(r.Read[next]) * durationUnit, ExpectedEnd: time.Duration(r.Due[next]) * durationUnit})
			next++
		}
		out[spread.Key(server)] = w
	}
	return out, true
}

// valueAt returns a value of a column. An omitted column is all zeros.
func valueAt[T uint32 | uint64](column []T, i int) T {
	if len(column) == 0 {
		return 0
	}
	return column[i]
}

// encodeRejections adds to a report the servers that rejected work, with the time left for which
// each is passed over.
func encodeRejections(r *peerpb.LoadReport, servers map[away.Key]time.Duration) {
	for server, left := range servers {
		r.Away = append(r.Away, uint32(server))
		r.AwayMs = append(r.AwayMs, uint32(left.Milliseconds()))
	}
}

// decodeRejections decodes what encodeRejections added. It returns false if the columns
// differ in length.
func decodeRejections(r *peerpb.LoadReport) (map[away.Key]time.Duration, bool) {
	if len(r.Away) != len(r.AwayMs) {
		return nil, false
	}
	out := make(map[away.Key]time.Duration, len(r.Away))
	for i, server := range r.Away {
		out[away.Key(server)] = time.Duration(r.AwayMs[i]) * time.Millisecond
	}
	return out, true
}

// encodeUsage adds the usage of customers to a report.
func encodeUsage(r *peerpb.LoadReport, usage []fairshare.Usage) {
	for _, u := range usage {
		r.Customers = append(r.Customers, u.Customer)
		r.CustomerPrefill = append(r.CustomerPrefill, uint32(u.Prefill.Milliseconds()))
	}
}

// decodeUsage decodes what encodeUsage added, at most fairshare.MaxEntries, or nothing if the columns
// differ in length.
func decodeUsage(r *peerpb.LoadReport) []fairshare.Usage {
	if len(r.Customers) != len(r.CustomerPrefill) {
		return nil
	}
	out := make([]fairshare.Usage, min(len(r.Customers), fairshare.MaxEntries))
	for i := range out {
		out[i] = fairshare.Usage{Customer: r.Customers[i], Prefill: time.Duration(r.CustomerPrefill[i]) * time.Millisecond}
	}
	return out
}
