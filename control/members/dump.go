package members

import (
	"github.com/auburnmoor/auburnmoor/internal/digest"
	"github.com/auburnmoor/auburnmoor/ring"
)

// digestOf returns a digest of the parts of a view that listeners use, to detect changes.
func digestOf(v View) uint64 {
	var d digest.Fields
	d.Reset()
	for _, s := range v.Alive {
		d.AddText(s.Name, s.CallerAddr)
		d.AddNumbers(s.Incarnation, digest.Bit(s.Leaving)|digest.Bit(s.Serving)<<1, uint64(s.Capacity))
	}
	for _, e := range v.Engines {
		d.AddText(e.Name, e.Addr)
		d.AddNumbers(digest.Bit(e.Leaving), digest.Bit(e.State != nil))
		if e.State != nil {
			d.AddNumbers(uint64(e.State.KvTotal), uint64(len(e.State.Models)))
			d.AddText(e.State.Models...)
		}
	}
	for _, s := range v.Services {
		d.AddText(s.Name, s.Addr)
		d.AddNumbers(digest.Bit(s.Leaving))
	}
	return d.Sum64()
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

// maxDumped bounds the length of each list in a dump.
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
