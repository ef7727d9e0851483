package enginecore_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestCore(t *testing.T) { testkit.Suite(t, "enginecore") }

func newCore() *enginecore.Core {
	return enginecore.New(enginecore.Config{Name: "e", KVTokens: 10_000, Assume: enginecore.Assumed(1), Fencing: true})
}

func drain(c *enginecore.Core) (outs []enginecore.Output) {
	for {
		at, ok := c.Next()
		if !ok {
			return outs
		}
		outs = append(outs, c.Advance(at)...)
	}
}

var _ = Describe("an emulated engine", func() {
	It("numbers tokens, ends a stream with their count and frees its memory", func() {
		c := newCore()
		Expect(c.Submit(0, enginecore.Request{ID: "s", PromptTokens: 1000, MaxTokens: 3})).To(Succeed())
		outs := drain(c)
		Expect(outs).To(HaveLen(4))
		Expect(outs[3].Kind).To(Equal(enginecore.End))
		Expect(outs[3].Seq).To(Equal(int64(3)))
		Expect(c.Held()).To(BeZero())
	})

	It("finishes a short prompt of higher priority before a long one", func() {
		c := newCore()
		Expect(c.Submit(0, enginecore.Request{ID: "long", PromptTokens: 8000, MaxTokens: 1, Priority: 10})).To(Succeed())
		Expect(c.Submit(0, enginecore.Request{ID: "short", PromptTokens: 100, MaxTokens: 1, Priority: 1})).To(Succeed())
		Expect(drain(c)[0].ID).To(Equal("short"))
	})

	It("reuses a cached prefix", func() {
		c := newCore()
		chain := []uint64{1, 2}
		Expect(c.Submit(0, enginecore.Request{ID: "a", PromptTokens: 2100, MaxTokens: 1, Chain: chain})).To(Succeed())
		drain(c)
		before := c.Prefilled()
		Expect(c.Submit(time.Minute, enginecore.Request{ID: "b", PromptTokens: 2100, MaxTokens: 1, Chain: chain})).To(Succeed())
		Expect(drain(c)[0].Cached).To(Equal(int64(2048)))
		Expect(c.Prefilled() - before).To(Equal(int64(52)))
	})

	It("holds an exported KV cache until it is released", func() {
		c := newCore()
		Expect(c.Submit(0, enginecore.Request{ID: "h", PromptTokens: 5000, Hold: true})).To(Succeed())
		drain(c)
		Expect(c.Held()).To(Equal(int64(5000)))
		c.Cancel(time.Minute, "h")
		Expect(c.Held()).To(BeZero())
	})

	It("refuses an order with an outdated fencing token", func() {
		c := newCore()
		Expect(c.Order(0, engine.Order{Kind: engine.OrderLoad, Target: "m", Fence: 5})).To(Succeed())
		Expect(c.Order(0, engine.Order{Kind: engine.OrderLoad, Target: "m", Fence: 4})).To(MatchError(engine.ErrStaleFence))
	})

	It("completes no step while it hangs and resumes afterwards", func() {
		c := newCore()
		Expect(c.Submit(0, enginecore.Request{ID: "s", PromptTokens: 100, MaxTokens: 2})).To(Succeed())
		c.Hang(0, true)
		Expect(c.Advance(time.Hour)).To(BeEmpty())
		c.Hang(time.Hour, false)
		Expect(drain(c)).To(HaveLen(3))
	})
})

// TestMemoryProperty submits, cancels and runs random streams: memory use never
// exceeds the engine's memory, and all of it is free at the end.
func TestMemoryProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore()
		now := time.Duration(0)
		for i := range rapid.IntRange(5, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			c.Advance(now)
			var chain []uint64
			for b := range rapid.IntRange(0, 3).Draw(t, "blocks") {
				chain = append(chain, uint64(rapid.IntRange(0, 2).Draw(t, "doc")*10+b))
			}
			prompt := int64(len(chain)*1024 + rapid.IntRange(1, 4000).Draw(t, "prompt"))
			_ = c.Submit(now, enginecore.Request{ID: fmt.Sprint(i), PromptTokens: prompt, MaxTokens: int64(rapid.IntRange(1, 20).Draw(t, "max")), Chain: chain})
			if rapid.Bool().Draw(t, "cancel") {
				c.Cancel(now, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "which")))
			}
			if c.Held() > 10_000 || c.Held() < 0 {
				t.Fatalf("%d tokens held", c.Held())
			}
		}
		drain(c)
		if c.Held() != 0 || c.Streams() != 0 {
			t.Fatalf("%d tokens and %d streams left", c.Held(), c.Streams())
		}
	})
}
