package notices

import (
	"time"

	"github.com/auburnmoor/auburnmoor/decide/notice"
)

// Dump is the state of the module.
type Dump struct {
	Leaving []DumpLeaving `json:"leaving"`
	Resting []DumpRest    `json:"resting"`
}

// DumpLeaving is a server that said that it leaves.
type DumpLeaving struct {
	Server string `json:"server"`
	Life   int64  `json:"life"`
	// HeardBy is the instance that heard it, Age the time since.
	HeardBy string        `json:"heard_by"`
	Age     time.Duration `json:"age_ns"`
	// Listed is unset if the list lacks this life of the server.
	Listed bool `json:"listed"`
}

// DumpRest is a server that asked this instance for rest.
type DumpRest struct {
	Server string `json:"server"`
	Life   int64  `json:"life"`
	// Age is the time since it asked first, Left the time until the rest ends.
	Age  time.Duration `json:"age_ns"`
	Left time.Duration `json:"left_ns"`
	// Answers counts the answers that asked for it.
	Answers int `json:"answers"`
}

// Dump implements auburnmoor.Dumper.
func (n *Notices) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, d := n.now(), Dump{}
	leaving := n.table.Leaving()
	for _, server := range notice.Sorted(leaving) {
		w := leaving[server]
		d.Leaving = append(d.Leaving, DumpLeaving{
			Server: server.Server, Life: int64(server.Life), HeardBy: w.By, Age: now - w.Heard, Listed: n.listed(server),
		})
	}
	resting := n.table.Resting(now)
	for _, server := range notice.Sorted(resting) {
		r := resting[server]
		d.Resting = append(d.Resting, DumpRest{
			Server: server.Server, Life: int64(server.Life), Age: now - r.Asked, Left: r.Until - now, Answers: r.Answers,
		})
	}
	return d
}
