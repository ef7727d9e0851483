package blame

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameExit is the time within which two reported exits of one server are the same: a server
	// takes at least a second to restart.
	sameExit = time.Second
	// sameMoment is the time within which crashes have a common cause. Instances see the exit of
	// one server within milliseconds of each other.
	sameMoment = 25 * time.Millisecond
	// maxKeys bounds the keys of one crash.
	maxKeys = 768
)

// Exit is the exit of a server.
type Exit struct {
	// Server is a hash of the server's ID.
	Server uint64
	At     time.Duration
}

func (e Exit) matches(o Exit) bool { return e.Server == o.Server && (e.At-o.At).Abs() < sameExit }

// Update is what instances tell each other of one crash.
type Update struct {
	Exit
	// Approximate is set if the time was read from the store and may be off by restoredError.
	Approximate bool
	// Servers is the number of servers of the service.
	Servers int
	// Version is that of the server, zero if it is not known.
	Version Version
	// Keys are the keys of fresh runs, Cleared those of them that are not the cause.
	Keys, Cleared []Key
	// Sound are parts of Keys that servers of other versions have answered since.
	Sound []Sound
}

// Sound tells that servers of a version answer requests with a part.
type Sound struct {
	Part    Key
	Version Version
}

// crash is what is known of one crash.
type crash struct {
	Exit
	// approximate is set while its time is known from the store only, which was read at readAt.
	approximate bool
	readAt      time.Duration
	servers     int
	// keys maps the keys of fresh runs to whether they are cleared.
	keys    map[Key]bool
	version Version
	sound   map[Sound]bool
	// pending are the keys that changed since Take, told is set once the crash itself was taken.
	pending map[Key]bool
	told    bool
}

// add adds a key and reports whether that changed anything.
func (c *crash) add(k Key, cleared bool) bool {
	was, known := c.keys[k]
	if known && (was || !cleared) || !known && len(c.keys) >= maxKeys {
		return false
	}
	c.keys[k], c.pending[k] = cleared, true
	return true
}

// addSound adds that servers of another version answer requests with a key that may be the cause, and
// reports whether that changed anything.
func (c *crash) addSound(s Sound) bool {
	if !c.live(s.Part) || c.sound[s] || len(c.sound) >= maxKeys {
		return false
	}
	c.sound[s], c.pending[s.Part] = true, c.keys[s.Part]
	return true
}

// changed reports whether other instances must be told of the crash.
func (c *crash) changed() bool { return !c.told || len(c.pending) > 0 }

// merge adds what an update tells of the crash and reports whether that changed anything.
func (c *crash) merge(u Update) (changed bool) {
	c.servers = max(c.servers, u.Servers)
	if c.version == 0 && u.Version != 0 {
		c.version, c.told, changed = u.Version, c.told && c.approximate, true
	}
	for _, k := range u.Keys {
		changed = c.add(k, false) || changed
	}
	for _, k := range u.Cleared {
		changed = c.add(k, true) || changed
	}
	for _, s := range u.Sound {
		changed = c.addSound(s) || changed
	}
	return changed
}

// live reports whether a key may be the cause.
func (c *crash) live(k Key) bool {
	cleared, known := c.keys[k]
	return known && !cleared
}

// update returns the keys that a filter keeps.
func (c *crash) update(keep func(Key) bool) Update {
	u := Update{Exit: c.Exit, Approximate: c.approximate, Servers: c.servers, Version: c.version}
	for k, cleared := range c.keys {
		switch {
		case !keep(k):
		case cleared:
			u.Cleared = append(u.Cleared, k)
		default:
			u.Keys = append(u.Keys, k)
		}
	}
	for s := range c.sound {
		if keep(s.Part) && c.live(s.Part) {
			u.Sound = append(u.Sound, s)
		}
	}
	return u
}

// digest is a hash of what is known of the crash.
func (c *crash) digest() uint64 {
	var sum uint64
	for k, cleared := range c.keys {
		raw := binary.LittleEndian.AppendUint64(make([]byte, 0, 17), c.Server)
		raw = binary.LittleEndian.AppendUint64(raw, uint64(k))
		if cleared {
			raw = append(raw, 1)
		}
		sum += xxhash.Sum64(raw)
	}
	for s := range c.sound {
		if c.live(s.Part) {
			sum += s.digest()
		}
	}
	return sum
}

func (s Sound) digest() uint64 {
	raw := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), uint64(s.Part))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, uint64(s.Version)))
}

// countMoments counts the moments at which crashes happened; the list is sorted by time.
func countMoments(crashes []*crash) (n int) {
	var last time.Duration
	for _, c := range crashes {
		if n == 0 || c.At-last > sameMoment {
			n++
			last = c.At
		}
	}
	return n
}

func byTime(a, b *crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server))
}

// insertByTime returns crashes, sorted by time, with c inserted.
func insertByTime(crashes []*crash, c *crash) []*crash {
	at, _ := slices.BinarySearchFunc(crashes, c, byTime)
	return slices.Insert(crashes, at, c)
}
