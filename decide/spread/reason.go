package spread

// Reason is why a request was not placed.
type Reason int

// The reasons.
const (
	// NoReason: it was placed, or there is no server.
	NoReason Reason = iota
	// ForTurn: another held prompt precedes it.
	ForTurn
	// ForPrefill: too much prefill is pending on the engines.
	ForPrefill
	// ForSlot: all slots are taken.
	ForSlot
	// ForMemory: the engines together have too little free memory.
	ForMemory
	// ForHarm: answers in progress would lose more than the prompt is worth.
	ForHarm
	// ForTime: its answer can no longer come in time.
	ForTime
	// ForWarmup: the servers that could take it are cold, and this instance has sent them all that it may.
	ForWarmup
	// NumReasons is the number of reasons.
	NumReasons
)

var reasonNames = [...]string{"none", "turn", "reading", "slot", "memory", "harm", "time", "cold"}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }
