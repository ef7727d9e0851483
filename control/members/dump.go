package members

import (
	"fmt"
	"strings"

	"github.com/auburnmoor/auburnmoor/ring"
)

// viewKey renders what listeners care about, to tell whether a view changed.
func viewKey(v View) string {
	var b strings.Builder
	for _, s := range v.Alive {
		fmt.Fprintf(&b, "%s/%d/%t/%t/%s;", s.Name, s.Incarnation, s.Leaving, s.Serving, s.CallerAddr)
	}
	for _, e := range v.Engines {
		fmt.Fprintf(&b, "%s@%s/%t", e.Name, e.Addr, e.Leaving)
		if e.State != nil {
			fmt.Fprintf(&b, "/%d/%v", e.State.KvTotal, e.State.Models)
		}
		b.WriteByte(';')
	}
	for _, s := range v.Services {
		fmt.Fprintf(&b, "%s@%s/%t;", s.Name, s.Addr, s.Leaving)
	}
	return b.String()
}

// Dump is the state of the module.
type Dump struct {
	Alive    []DumpMember `json:"alive"`
	Engines  []string     `json:"engines"`
	Services []string     `json:"services"`
	Inbox    ring.Stats   `json:"inbox"`
}

// DumpMember is one live instance.
type DumpMember struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Heartbeat   uint64 `json:"heartbeat"`
	Leaving     bool   `json:"leaving"`
	DataCentre  string `json:"data_centre"`
}

// maxDumped bounds the lines of each list in a dump.
const maxDumped = 1000

// Dump implements auburnmoor.Dumper.
func (m *Members) Dump() any {
	v := m.View()
	d := Dump{Inbox: m.inbox.Stats()}
	for _, s := range v.Alive[:min(len(v.Alive), maxDumped)] {
		d.Alive = append(d.Alive, DumpMember{Name: s.Name, Incarnation: s.Incarnation, Heartbeat: s.Heartbeat, Leaving: s.Leaving, DataCentre: s.DataCentre})
	}
	for _, e := range v.Engines[:min(len(v.Engines), maxDumped)] {
		d.Engines = append(d.Engines, e.Name)
	}
	for _, s := range v.Services[:min(len(v.Services), maxDumped)] {
		d.Services = append(d.Services, s.Name)
	}
	return d
}
