package claim_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/claim"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

func TestClaim(t *testing.T) {
	testkit.Suite(t, "claim")
}

// fakeStore executes the store calls of machines on a map.
type fakeStore struct {
	objects map[string]objectapi.Object
	version uint64
	// loseReplies drops the replies of writes that took effect; down fails all calls.
	loseReplies, down bool
	writes            int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]objectapi.Object{}} }

func (s *fakeStore) write(a claim.Write) claim.Written {
	s.writes++
	out := claim.Written{Shard: a.Shard, ID: a.ID}
	switch {
	case s.down:
		out.Err = objectapi.ErrUnknown
	case s.objects[a.Key].Version != a.Expect:
		out.Err = objectapi.ErrConflict
	default:
		s.version++
		s.objects[a.Key] = objectapi.Object{Key: a.Key, Version: s.version, Value: a.Value}
		out.Version = s.version
		if s.loseReplies {
			out.Err = objectapi.ErrUnknown
		}
	}
	return out
}

func (s *fakeStore) list(a claim.List) claim.Listed {
	out := claim.Listed{Shard: a.Shard}
	if s.down {
		out.Err = objectapi.ErrUnavailable
		return out
	}
	for k, o := range s.objects {
		if len(k) > len(a.Prefix) && k[:len(a.Prefix)] == a.Prefix {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

// host runs one machine against a store and collects its replies.
type host struct {
	m       *claim.Machine
	store   *fakeStore
	now     time.Duration
	unix    int64
	replies map[string]*peerpb.ClaimReply
	// held are the store calls delayed until release while hold is set.
	hold bool
	held []claim.Action
}

func newHost(name string, s *fakeStore) *host {
	return &host{m: claim.New(name, claim.DefaultConfig()), store: s, unix: 1_000_000, replies: map[string]*peerpb.ClaimReply{}}
}

func (h *host) step(ev claim.Event) {
	for _, a := range append([]claim.Action{}, h.m.Step(h.now, h.unix, ev)...) {
		h.act(a)
	}
}

func (h *host) act(a claim.Action) {
	if r, ok := a.(claim.Reply); ok {
		h.replies[r.Reply.RequestId] = r.Reply
		return
	}
	if h.hold {
		h.held = append(h.held, a)
		return
	}
	switch a := a.(type) {
	case claim.List:
		h.step(h.store.list(a))
	case claim.Write:
		h.step(h.store.write(a))
	case claim.Remove:
		delete(h.store.objects, a.Key)
	}
}

func (h *host) release() {
	h.hold = false
	held := h.held
	h.held = nil
	for _, a := range held {
		h.act(a)
	}
}

func (h *host) runFor(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 50 * time.Millisecond
		h.step(claim.Tick{})
	}
}

func allShards() claim.OwnershipChanged {
	var o claim.OwnershipChanged
	for i := range o.Shards {
		o.Shards[i] = true
	}
	return o
}

func (h *host) sendClaim(key, request string) { h.sendClaimWithBody(key, request, 7) }

func (h *host) sendClaimWithBody(key, request string, body uint64) {
	h.step(claim.ClaimRequested{From: "entry", Claim: &peerpb.Claim{Customer: "c", Key: key, RequestId: request, BodyHash: body}})
}

func (h *host) state(request string) peerpb.ClaimState {
	if r := h.replies[request]; r != nil {
		return r.State
	}
	return peerpb.ClaimState_CLAIM_UNKNOWN
}

const (
	granted     = peerpb.ClaimState_CLAIM_GRANTED
	running     = peerpb.ClaimState_CLAIM_RUNNING
	done        = peerpb.ClaimState_CLAIM_DONE
	unavailable = peerpb.ClaimState_CLAIM_UNAVAILABLE
	unknown     = peerpb.ClaimState_CLAIM_UNKNOWN
)

var _ = Describe("a ledger", func() {
	var store *fakeStore
	var a *host

	BeforeEach(func() {
		store = newFakeStore()
		a = newHost("a", store)
		a.step(allShards())
	})

	It("grants a key to one of two requests and answers others with its state or result", func() {
		a.sendClaim("k", "r1")
		a.sendClaim("k", "r2")
		Expect(a.state("r1")).To(Equal(granted))
		Expect(a.state("r2")).To(Equal(running))
		a.step(claim.ResultReported{Result: &peerpb.ClaimResult{Customer: "c", Key: "k", RequestId: "r1", Status: 201, Answer: []byte("label 1")}})
		a.sendClaim("k", "r3")
		Expect(a.state("r3")).To(Equal(done))
		Expect(string(a.replies["r3"].Answer)).To(Equal("label 1"))
	})

	It("refuses a key that was used with a different body", func() {
		a.sendClaimWithBody("k", "r1", 7)
		a.sendClaimWithBody("k", "r2", 8)
		Expect(a.state("r2")).To(Equal(peerpb.ClaimState_CLAIM_MISMATCH))
	})

	It("commits many claims in a few batched writes", func() {
		before := store.writes
		for i := range 400 {
			a.sendClaim(string(rune('a'+i%26))+string(rune('a'+i/26)), "r"+string(rune(1000+i)))
		}
		a.runFor(2 * time.Second)
		Expect(store.writes-before).To(BeNumerically("<=", 3*claim.Shards), "400 claims were not batched")
	})

	// Guards against a duplicate run after a lost reply: instance a's write takes effect, a
	// repeats it as if it had failed, and b has granted the key meanwhile. An unknown
	// outcome must not be treated as a failure.
	It("reads back its own write after a lost reply", func() {
		store.loseReplies = true
		a.sendClaim("k", "r1")
		Expect(a.state("r1")).To(Equal(unknown))
		store.loseReplies = false
		a.runFor(time.Second)
		Expect(a.state("r1")).To(Equal(granted))
		a.sendClaim("k", "r2")
		Expect(a.state("r2")).To(Equal(running))
	})

	// Guards against a duplicate run with two owners of one ledger: a stalls with a write
	// in flight, b takes the ledger over and grants the key, then a resumes. The fencing
	// write of b must make the write of a fail.
	It("does not grant claims as a deposed owner", func() {
		a.sendClaim("warm", "r0")
		a.hold = true
		a.sendClaim("k", "r1")
		b := newHost("b", store)
		b.step(allShards())
		b.sendClaim("k", "r2")
		Expect(b.state("r2")).To(Equal(granted))
		a.release()
		a.runFor(time.Second)
		Expect(a.state("r1")).NotTo(Equal(granted))
	})

	It("keeps keys across a change of owner", func() {
		a.sendClaim("k", "r1")
		b := newHost("b", store)
		b.step(allShards())
		b.sendClaim("k", "r2")
		Expect(b.state("r2")).To(Equal(running))
		Expect(b.replies["r2"].Runner).To(Equal("r1"))
	})

	// Guards against a key that stays in state "running" for ever: the store was slow, the
	// claim expired and was refused as not run, and its write took effect later, so that
	// the committed claim was granted to nobody.
	It("grants a key again whose claim was committed after it was refused", func() {
		store.down = true
		a.sendClaim("k", "r1")
		a.runFor(4 * time.Second)
		Expect(a.state("r1")).To(Equal(unavailable))
		store.down = false
		a.runFor(2 * time.Second)
		a.sendClaim("k", "r2")
		a.runFor(time.Second)
		Expect(a.state("r2")).To(Equal(granted))
	})

	It("releases a key whose request did not run", func() {
		a.sendClaim("k", "r1")
		a.step(claim.ResultReported{Result: &peerpb.ClaimResult{Customer: "c", Key: "k", RequestId: "r1", NotRun: true}})
		a.sendClaim("k", "r2")
		a.runFor(time.Second)
		Expect(a.state("r2")).To(Equal(granted))
	})

	It("reports where a model request runs, also after a change of owner", func() {
		a.sendClaim("k", "r1")
		a.step(claim.ResultReported{Result: &peerpb.ClaimResult{Customer: "c", Key: "k", RequestId: "r1", Engine: "e1", Stream: "r1.1"}})
		a.runFor(time.Second)
		b := newHost("b", store)
		b.step(allShards())
		b.sendClaim("k", "r2")
		Expect(b.replies["r2"].Engine).To(Equal("e1"))
		Expect(b.replies["r2"].Stream).To(Equal("r1.1"))
	})

	It("rolls segments and removes them only once expired by both the wall and the monotonic clock", func() {
		cfg := claim.DefaultConfig()
		cfg.SegmentBytes = 4 << 10
		a.m = claim.New("a", cfg)
		a.step(allShards())
		for i := range 2000 {
			a.sendClaim("key"+time.Duration(i).String(), "r"+time.Duration(i).String())
			if i%20 == 0 {
				a.runFor(100 * time.Millisecond)
			}
		}
		rolled := len(store.objects)
		Expect(rolled).To(BeNumerically(">", claim.Shards), "no segment was rolled over")
		// The wall clock jumps ahead by two days, which must not expire any segment yet.
		fresh := newHost("b", store)
		fresh.unix += 2 * 24 * 3600
		fresh.step(allShards())
		fresh.runFor(time.Minute)
		Expect(len(store.objects)).To(BeNumerically(">=", rolled))
		fresh.runFor(15 * time.Minute)
		Expect(len(store.objects)).To(BeNumerically("<", rolled))
	})
})
