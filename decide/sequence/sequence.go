// Package sequence checks that the numbered chunks of an answer arrive exactly once and in
// order, also when another server resumes a stream that broke off.
package sequence

// Verdict is the result of checking a chunk.
type Verdict int

// The verdicts.
const (
	// Next: the chunk is the expected one and may be passed on.
	Next Verdict = iota
	// Duplicate: the chunk was passed on before; a server that resumes may start earlier.
	Duplicate
	// Gap: chunks before it are missing, so the answer cannot be completed.
	Gap
)

// Order tracks the chunks of one answer. The zero value accepts any first number.
type Order struct {
	next  int64
	begun bool
}

// StartingAt returns an Order that expects first as the number of the first chunk.
func StartingAt(first int64) Order { return Order{next: first, begun: true} }

// Take checks a chunk by its number and advances if it is the expected one.
func (o *Order) Take(n int64) Verdict {
	switch {
	case o.begun && n < o.next:
		return Duplicate
	case o.begun && n > o.next:
		return Gap
	}
	o.next, o.begun = n+1, true
	return Next
}

// Expected returns the number of the expected chunk.
func (o *Order) Expected() int64 { return o.next }
