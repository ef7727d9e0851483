package spread

// Reason is why a request was not placed.
type Reason int

// The reasons.
const (
	// NoReason: it was placed, or there is no server.
	NoReason Reason = iota
	// ForTurn: another prompt that is held back goes first.
	ForTurn
	// ForReading: the engines have too much to read.
	ForReading
	// ForSlot: all slots are taken.
	ForSlot
	// ForMemory: the engines together have too little memory free.
	ForMemory
	// ForHarm: answers in progress would lose more than the prompt is worth.
	ForHarm
	// ForTime: its answer cannot come in time any more.
	ForTime
	// Reasons is their number.
	Reasons
)

var reasonNames = [...]string{"none", "turn", "reading", "slot", "memory", "harm", "time"}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }
