// Package sequence checks that the numbered pieces of an answer arrive each once
// and in order, also when another server goes on where one broke off.
package sequence

// Verdict is what a piece is.
type Verdict int

// The verdicts.
const (
	// Next: the piece is due and may be shown.
	Next Verdict = iota
	// Again: the piece was shown before; a server that goes on may begin earlier.
	Again
	// Gap: pieces before it are missing, so the answer cannot be completed.
	Gap
)

// Order follows one answer. The zero value takes any first number.
type Order struct {
	next  int64
	begun bool
}

// From returns an order whose first piece has a number.
func From(first int64) Order { return Order{next: first, begun: true} }

// Take judges a piece by its number and advances if it is the next.
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

// Following is the number that is due next.
func (o *Order) Following() int64 { return o.next }
