package cli

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/control/follow"
)

// coldHead is the head of the table of cold servers.
const coldHead = "COLD SERVER\tSERVICE\tLEFT\tKNOWN TO"

// coldTable holds the cold servers of a fleet by ID.
type coldTable map[string]coldServer

// coldServer is a server that instances take for cold.
type coldServer struct {
	service string
	// left is the longest time for which an instance takes it for cold.
	left time.Duration
	// instances counts those that do.
	instances int
}

// add adds the cold servers that one instance knows.
func (t coldTable) add(d follow.Dump) {
	for _, c := range d.Cold {
		s := t[c.Server]
		s.service, s.left = c.Service, max(s.left, time.Duration(c.LeftMS)*time.Millisecond)
		s.instances++
		t[c.Server] = s
	}
}

// rows returns a row for each cold server of a fleet of a number of instances.
func (t coldTable) rows(instances int) (rows []string) {
	for _, id := range slices.Sorted(maps.Keys(t)) {
		s := t[id]
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d of %d", id, s.service, s.left, s.instances, instances))
	}
	return rows
}
