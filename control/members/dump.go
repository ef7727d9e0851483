package members

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnmoor/auburnmoor/ring"
)

// viewKey is a digest of what listeners care about, to tell whether a view changed. It
// is taken ten times a second: rendered as text it was half of the processor time of an
// instance at rest among 74 (processor profile).
func viewKey(v View) uint64 {
	var k keyWriter
	k.Reset()
	for _, s := range v.Alive {
		k.text(s.Name, s.CallerAddr)
		k.number(s.Incarnation, bit(s.Leaving)|bit(s.Serving)<<1, uint64(s.Capacity))
	}
	for _, e := range v.Engines {
		k.text(e.Name, e.Addr)
		k.number(bit(e.Leaving), bit(e.State != nil))
		if e.State != nil {
			k.number(uint64(e.State.KvTotal), uint64(len(e.State.Models)))
			k.text(e.State.Models...)
		}
	}
	for _, s := range v.Services {
		k.text(s.Name, s.Addr)
		k.number(bit(s.Leaving))
	}
	return k.Sum64()
}

// keyWriter digests fields one after the other.
type keyWriter struct{ xxhash.Digest }

func (k *keyWriter) text(fields ...string) {
	for _, f := range fields {
		k.number(uint64(len(f)))
		_, _ = k.WriteString(f)
	}
}

func (k *keyWriter) number(fields ...uint64) {
	for _, f := range fields {
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], f)
		_, _ = k.Write(raw[:])
	}
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
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
