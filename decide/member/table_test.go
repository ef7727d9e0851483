package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestMember(t *testing.T) { testkit.Suite(t, "member") }

// fleet gossips n tables with one another, in an order that is drawn anew for each step.
type fleet struct {
	tables map[string]*member.Table
	silent map[string]bool
	names  []string
	order  *rand.Rand
	now    time.Duration
}

func newFleet(n int) *fleet { return newFleetOf(n, 1) }

func newFleetOf(n int, seed uint64) *fleet {
	f := &fleet{tables: map[string]*member.Table{}, silent: map[string]bool{}, order: rand.New(rand.NewPCG(seed, 77))}
	var contacts []member.Contact
	for i := range n {
		contacts = append(contacts, member.Contact{Name: fmt.Sprintf("i%03d", i)})
	}
	for i, c := range contacts {
		t := member.NewTable(&peerpb.MemberState{Name: c.Name, Incarnation: 10}, member.DefaultConfig(), rand.New(rand.NewPCG(1, uint64(i))))
		t.SetContacts(contacts)
		f.tables[c.Name] = t
		f.names = append(f.names, c.Name)
	}
	return f
}

func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.order.Shuffle(len(f.names), func(i, j int) { f.names[i], f.names[j] = f.names[j], f.names[i] })
		for _, name := range f.names {
			if f.silent[name] {
				continue
			}
			for _, m := range f.tables[name].Tick(f.now) {
				if to := f.tables[m.To]; to != nil && !f.silent[m.To] {
					to.Receive(f.now, m.Gossip)
				}
			}
		}
	}
}

func (f *fleet) alive(name string) int { return len(f.tables[name].Alive(f.now)) }

var _ = Describe("membership", func() {
	It("finds everyone from the instance list", func() {
		f := newFleet(9)
		f.pass(5 * time.Second)
		Expect(f.alive("i000")).To(Equal(9))
	})

	It("notices a silent member and takes it back", func() {
		f := newFleet(9)
		f.pass(5 * time.Second)
		f.silent["i003"] = true
		f.pass(15 * time.Second)
		Expect(f.alive("i000")).To(Equal(8))
		f.silent["i003"] = false
		f.pass(5 * time.Second)
		Expect(f.alive("i000")).To(Equal(9))
	})

	It("does not suspect anyone in a large fleet while all are well", func() {
		f := newFleet(100)
		f.pass(20 * time.Second)
		least := 100
		for i := range 200 {
			f.pass(100 * time.Millisecond)
			least = min(least, f.alive(fmt.Sprintf("i%03d", i%100)))
		}
		Expect(least).To(Equal(100))
	})

	// A live instance of 100 is missing from another's view for two seconds. Where members
	// hear of each other by gossip alone, a heartbeat comes over many hops; once its age
	// counted as silence too, 16.6 s were reached while all were well. Evidence: with these
	// seeds one pair each, whose last heartbeat was 16.5 s old; none of 40 seeds without.
	DescribeTable("does not count the age of news as silence without direct signs of life", func(seed uint64) {
		f := newFleetOf(100, seed)
		f.pass(20 * time.Second)
		for range 100 {
			f.pass(200 * time.Millisecond)
			for _, name := range f.names {
				Expect(f.alive(name)).To(Equal(100), "as %s sees it after %s", name, f.now)
			}
		}
	},
		Entry("seed 2", uint64(2)),
		Entry("seed 19", uint64(19)),
	)

	It("spreads a departure at once and keeps the leaving member reachable", func() {
		f := newFleet(5)
		f.pass(5 * time.Second)
		f.tables["i001"].SetLeaving()
		f.pass(2 * time.Second)
		Expect(member.Owners(f.tables["i000"].Alive(f.now))).NotTo(ContainElement("i001"))
		Expect(f.alive("i000")).To(Equal(5))
	})

	// A leaving instance cuts answers off: it tells all others, and each of hundreds sent
	// it all that it knows, over a link of 20 Mbit/s.
	It("answers members that it did not know, and no others", func() {
		self := member.NewTable(&peerpb.MemberState{Name: "a", Incarnation: 1}, member.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
		hear := func(s *peerpb.MemberState) []member.Message {
			self.Receive(time.Second, &peerpb.Gossip{Members: []*peerpb.MemberState{s, {Name: "c", Incarnation: 1, Version: s.Version}}})
			return self.Answers(time.Second)
		}
		first := hear(&peerpb.MemberState{Name: "b", Incarnation: 1})
		Expect(first).To(HaveLen(1))
		Expect(first[0].To).To(Equal("b"))
		Expect(hear(&peerpb.MemberState{Name: "b", Incarnation: 1, Version: 1, Serving: true})).To(BeEmpty())
		Expect(hear(&peerpb.MemberState{Name: "b", Incarnation: 1, Version: 2, Leaving: true})).To(BeEmpty())
	})

	// An instance was replaced by one whose wall clock is behind; everybody
	// ignores the new one as stale, so it gets no requests until its clock
	// catches up. Cause: incarnations from clocks that jump.
	It("lets a restarted instance outbid its predecessor's incarnation", func() {
		f := newFleet(3)
		f.pass(5 * time.Second)
		late := member.NewTable(&peerpb.MemberState{Name: "i001", Incarnation: 3}, member.DefaultConfig(), rand.New(rand.NewPCG(9, 9)))
		late.SetContacts([]member.Contact{{Name: "i000"}, {Name: "i002"}})
		f.tables["i001"] = late
		f.pass(10 * time.Second)
		Expect(f.alive("i000")).To(Equal(3))
		for _, s := range f.tables["i000"].Alive(f.now) {
			if s.Name == "i001" {
				Expect(s.Incarnation).To(BeNumerically(">", 10))
			}
		}
	})

	// A site of nine never becomes ready: a model is loaded, its engine's owner
	// says so, but most instances hear a later heartbeat of the owner from
	// others first and drop the news as old.
	It("spreads a change although later heartbeats arrive before it", func() {
		f := newFleet(9)
		f.pass(30 * time.Second)
		for i := range 9 {
			f.tables[fmt.Sprintf("i%03d", i)].SetEngines([]*peerpb.EngineState{{Name: fmt.Sprint("e", i), Models: []string{"m"}}})
		}
		f.pass(5 * time.Second)
		for i := range 9 {
			for _, s := range f.tables[fmt.Sprintf("i%03d", i)].Alive(f.now) {
				Expect(s.Engines).To(HaveLen(1), "%s as i%03d sees it", s.Name, i)
			}
		}
	})

	It("takes a name on the instance list for no sign of life", func() {
		f := newFleet(2)
		f.tables["i000"].SetContacts([]member.Contact{{Name: "ghost"}})
		f.pass(5 * time.Second)
		Expect(f.alive("i000")).To(Equal(2))
	})
})
