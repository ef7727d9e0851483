package attempt

import "time"

// Clients give a stream up after a silence of clientLeast, clientFirsts times
// the useful time to the first event or clientGaps times the useful pause,
// whichever is longest. An attempt ends at shareOfClient of that, so that
// another one may still follow.
const (
	clientLeast   = 2 * time.Second
	clientFirsts  = 4
	clientGaps    = 8
	shareOfClient = 0.85
)

// ExtendBy is how long an attempt at busy servers goes on before it is looked at
// again.
const ExtendBy = 500 * time.Millisecond

// WaitOn decides whether an attempt from which nothing came for as long as it
// was given goes on. silent is the time since anything came, busy tells that the
// servers are known to have more to do than they can do at once. Sending a
// prompt again has all of it read again, so a second attempt for each late one
// makes an overload outlast the burst that caused it: in one day of bursts 107
// prompts were sent twice without that.
func WaitOn(silent time.Duration, busy bool, first, gap time.Duration) bool {
	client := max(clientLeast, clientFirsts*first, clientGaps*gap)
	return busy && silent < time.Duration(shareOfClient*float64(client))
}
