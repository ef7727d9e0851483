package backends_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

// message is a list of servers, or a delta, as one instance sends it to another.
type message struct {
	list  []backends.Server
	delta *backends.Delta
	at    position.Position
}

// replica is an instance's list. Its watch of the store may be behind its list.
type replica struct {
	set     *backends.Set
	watched int64
}

func (r *replica) at() position.Position { return r.set.Snapshot().At }

// watch applies what the store answers to a watch, and returns the delta for other instances, nil if
// nothing was adopted.
func (r *replica) watch(l *serverList, upTo int64) *message {
	before := r.set.Snapshot()
	from := max(r.watched, before.At.Revision)
	var changes []backends.Change
	for rev := from + 1; rev <= upTo; rev++ {
		changes = append(changes, l.history[rev])
	}
	r.watched = max(from, upTo)
	at := position.Position{Era: l.at.Era, Revision: upTo}
	if len(changes) == 0 || !r.set.Apply(0, changes, at) {
		return nil
	}
	d := r.set.Snapshot().DeltaSince(before, changes)
	return &message{delta: &d, at: at}
}

// receive applies what another instance sent, if it follows on what is held.
func (r *replica) receive(m message) {
	held := r.set.Snapshot()
	switch {
	case !held.At.Before(m.at):
	case m.delta == nil:
		r.set.Replace(0, m.list, m.at)
	case held.FollowedBy(*m.delta):
		r.set.Apply(0, m.delta.Changes, m.at)
	}
}

// full is the list as it is sent to another instance.
func (r *replica) full() message { return message{list: r.set.Snapshot().All(), at: r.at()} }

// TestDeltasProperty draws what servers write, when instances watch, and messages between them that are
// late, lost, doubled and out of order. Each list is that of the store at its position.
func TestDeltasProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &serverList{at: position.Position{Era: 1}, servers: map[string]backends.Server{}, history: map[int64]backends.Change{}}
		lists := map[int64]map[string]backends.Server{0: {}}
		change := func(id string, s *backends.Server) {
			store.change(id, s)
			lists[store.at.Revision] = maps.Clone(store.servers)
		}
		replicas := make([]*replica, 4)
		for i := range replicas {
			replicas[i] = &replica{set: backends.NewSet()}
			replicas[i].set.Replace(0, nil, store.at)
		}
		var messages []message
		check := func(r *replica) {
			snap := r.set.Snapshot()
			model := backends.NewSet()
			model.Replace(0, slices.Collect(maps.Values(lists[snap.At.Revision])), snap.At)
			if snap.Digest != model.Snapshot().Digest {
				t.Fatalf("at %v an instance holds %v, the store %v", snap.At, snap.All(), model.Snapshot().All())
			}
			for _, v := range snap.Ready("s") {
				if entry, listed := lists[snap.At.Revision][v.ID]; !listed || entry.Leaving {
					t.Fatalf("at %v %s is used, and the store does not list it as ready", snap.At, v.ID)
				}
			}
		}
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			r := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "instance")]
			switch rapid.SampledFrom([]string{"write", "write", "write", "leave", "end", "watch", "watch", "full", "deliver", "deliver", "deliver", "restart"}).Draw(t, "step") {
			case "write":
				// An entry that was written late may say ready again after one that said leaving.
				change(id, &backends.Server{ID: id, Service: "s", Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
			case "leave":
				change(id, &backends.Server{ID: id, Service: "s", Leaving: true})
			case "end":
				if _, listed := store.servers[id]; listed {
					change(id, nil)
				}
			case "watch":
				from := min(max(r.watched, r.at().Revision), store.at.Revision)
				if m := r.watch(store, rapid.Int64Range(from, store.at.Revision).Draw(t, "up to")); m != nil {
					messages = append(messages, *m)
				}
			case "full":
				messages = append(messages, r.full())
			case "deliver":
				// A message that is not removed is late, lost or doubled.
				if len(messages) > 0 {
					r.receive(messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")])
				}
			case "restart":
				*r = replica{set: backends.NewSet()}
				r.set.Replace(0, store.all(), store.at)
			}
			check(r)
		}
	})
}

var _ = Describe("a delta between two lists", func() {
	server := func(id string) *backends.Server { return &backends.Server{ID: id, Service: "s", Slots: 1} }
	var set *backends.Set
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{*server("a")}, at(90))
	})

	// Guards against a server that is listed again because its heartbeat is applied after its removal.
	It("holds the last state of a server that changed several times", func() {
		before := set.Snapshot()
		changes := []backends.Change{{ID: "b", Server: server("b")}, {ID: "a", Server: server("a")}, {ID: "b"}, {ID: "a"}, {ID: "a", Server: server("a")}}
		set.Apply(0, changes, at(95))
		d := set.Snapshot().DeltaSince(before, changes)
		Expect(d.Changes).To(HaveExactElements(backends.Change{ID: "b"}, HaveField("Server.ID", "a")))
		Expect(d.Ambiguous()).To(BeFalse())
	})

	// Guards against former versions of this program, which send the removal and the heartbeat in one
	// message without their order.
	It("does not lead anywhere if it has two changes of one server", func() {
		d := backends.Delta{After: at(90), AfterDigest: set.Snapshot().Digest, At: at(95), Changes: []backends.Change{{ID: "b"}, {ID: "b", Server: server("b")}}}
		Expect(set.Snapshot().FollowedBy(d)).To(BeFalse())
		d.Changes = d.Changes[:1]
		Expect(set.Snapshot().FollowedBy(d)).To(BeTrue())
	})

	// Guards against lists at one position that differ because one instance saw an entry that another
	// one did not.
	It("keeps a server out of use that left by an earlier entry, without another digest", func() {
		leaving := server("a")
		leaving.Leaving = true
		set.Apply(0, []backends.Change{{ID: "a", Server: leaving}, {ID: "a", Server: server("a")}}, at(92))
		other := backends.NewSet()
		other.Replace(0, []backends.Server{*server("a")}, at(92))
		Expect(set.Snapshot().Digest).To(Equal(other.Snapshot().Digest))
		Expect(set.Snapshot().Ready("s")).To(BeEmpty())
		told := backends.NewSet()
		told.Replace(time.Second, set.Snapshot().All(), at(92))
		Expect(told.Snapshot().Digest).To(Equal(other.Snapshot().Digest))
		Expect(told.Snapshot().Ready("s")).To(BeEmpty())
	})
})

// Guards against requests to servers that left after they were chosen, and against calls that an instance
// does not make for others because it has not heard of a new server yet.
var _ = Describe("a server that was chosen earlier", func() {
	It("has left if its entry says so or is gone, and not if it was never listed", func() {
		set := backends.NewSet()
		set.Replace(0, []backends.Server{{ID: "a", Life: 1}, {ID: "b", Life: 1}, {ID: "c", Life: 1}}, at(90))
		set.Apply(0, []backends.Change{{ID: "a", Server: &backends.Server{ID: "a", Life: 1, Leaving: true}}, {ID: "b"}}, at(92))
		left := set.Snapshot().HasLeft
		Expect(left("a", 1)).To(BeTrue())
		Expect(left("b", 1)).To(BeTrue())
		Expect(left("c", 1)).To(BeFalse())
		Expect(left("b", 2)).To(BeFalse())
		Expect(left("unknown", 1)).To(BeFalse())
		set.Apply(0, []backends.Change{{ID: "b", Server: &backends.Server{ID: "b", Life: 1}}}, at(93))
		Expect(set.Snapshot().HasLeft("b", 1)).To(BeFalse())
	})
})
