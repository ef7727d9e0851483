// Package sequence checks that the numbered chunks of an answer arrive exactly once and in
// order, also when another server resumes a stream that broke off.
package sequence

// Verdict is the result of checking a chunk.
type Verdict int

// The verdicts.
const (
	// Next: the chunk is the expected one and may be passed on.
	Next Verdict = iota
	// Again: the chunk was passed on before; a server that resumes may start earlier.
	Again
	// Gap: chunks before it are missing, so the answer cannot be completed.
	Gap
)

// Order tracks the chunks of one answer. The zero value accepts any first number.
type Order struct {
	next  int64
	begun bool
}

// From returns an Order that expects first as the number of the first chunk.
func From(first int64) Order { return Order{next: first, begun: true} }

// Take checks a chunk by its number and advances if it is the expected one.
func (o *Order) Take(n int64) Verdict {
	switch {
	case o.begun && n < o.next:
		return Again
	case o.begun && n > o.next:
		return Gap
	}
	o.next, o.begun = n+1, true
	return Next
}

// Following returns the number of the expected chunk.
func (o *Order) Following() int64 { return o.next }
