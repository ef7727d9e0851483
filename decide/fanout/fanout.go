// Package fanout decides on which paths a report of an instance reaches its cell peers. Cell peers
// in the sender's data centre get it directly. In each other data centre one cell peer, the relay,
// gets a copy and passes it on to the others there, because traffic between data centres is
// expensive.
//
// The package does no I/O and reads no clock.
package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelayed is the number of cell peers in a data centre from which a relay is used. With fewer,
	// a relay would save at most two copies, too little for the reports that are lost with it.
	minRelayed = 4
	// maxSilence is the time within which a relay must have been heard from. Idle instances send
	// something to each cell peer only every 1.4 s.
	maxSilence = 1500 * time.Millisecond
	// newFor is the time for which a new cell peer gets reports directly: a relay may learn of it some
	// rounds of gossip after the sender.
	newFor = 2 * time.Second
)

// Peer is a cell peer of an instance.
type Peer struct {
	Name, DataCentre string
	// HeardAt is when the last message of the peer itself arrived, zero if none did.
	HeardAt time.Duration
	// Since is when it became a cell peer.
	Since time.Duration
}

func (p Peer) isNew(now time.Duration) bool { return now-p.Since < newFor }

// Plan is the set of receivers of one report.
type Plan struct {
	// Direct get the report for themselves, Relays also to pass it on.
	Direct, Relays []string
}

// Choose returns the receivers of a report of an instance in a data centre. With consecutive values of
// round, the peers of a data centre that were heard from are relays in turn. Peers whose data centre is
// unknown get the report directly, and so do new ones; relays may pass it on to these as well.
func Choose(now time.Duration, sender, dataCentre string, peers []Peer, round uint64) Plan {
	var plan Plan
	members, relays := map[string]int{}, map[string][]string{}
	for _, p := range peers {
		if p.isNew(now) {
			continue
		}
		members[p.DataCentre]++
		if p.HeardAt > 0 && now-p.HeardAt <= maxSilence {
			relays[p.DataCentre] = append(relays[p.DataCentre], p.Name)
		}
	}
	// Instances that start together would otherwise all use the same relays.
	turn := xxhash.Sum64String(sender) + round
	for _, p := range peers {
		candidates := relays[p.DataCentre]
		switch {
		case p.isNew(now) || p.DataCentre == "" || p.DataCentre == dataCentre || members[p.DataCentre] < minRelayed || len(candidates) == 0:
			plan.Direct = append(plan.Direct, p.Name)
		case p.Name == candidates[turn%uint64(len(candidates))]:
			plan.Relays = append(plan.Relays, p.Name)
		}
	}
	return plan
}

// Neighbours returns the cell peers to which a relay in a data centre passes on a report of the
// sender, none if the sender is not a cell peer.
func Neighbours(sender, dataCentre string, peers []Peer) (out []string) {
	known := false
	for _, p := range peers {
		switch {
		case p.Name == sender:
			known = true
		case p.DataCentre == dataCentre:
			out = append(out, p.Name)
		}
	}
	if !known || dataCentre == "" {
		return nil
	}
	return out
}
