package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

func newFleet(engines int) Directory {
	var d Directory
	for i := range engines {
		d.Engines = append(d.Engines, EngineInfo{Name: fmt.Sprintf("engine-%04d", i), Models: []string{"m"}, KVTotal: 480_000, Owner: fmt.Sprintf("entry-%d", i%350)})
	}
	return d
}

func testJob(i int) *peerpb.Job {
	return &peerpb.Job{Id: fmt.Sprint("r~1~", i, "~30"), Model: "m", PromptTokens: 4000, MaxTokens: 64, Prefix: []uint64{uint64(i) * 0x9e3779b97f4a7c15, 2, 3},
		RemainingUs: time.Minute.Microseconds(), TargetUs: time.Second.Microseconds(), Weight: 1}
}

// BenchmarkCandidates measures the selection of candidates by fleet size.
func BenchmarkCandidates(b *testing.B) {
	for _, engines := range []int{20, 100, 350, 750} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			n := NewNode("entry-x", DefaultConfig(), 1)
			n.Step(0, newFleet(engines))
			p := n.dir.pools["m"]
			j := testJob(7)
			var buf [4]*EngineInfo
			noneUnsuitable := func(*EngineInfo) bool { return false }
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j.Prefix[0] = uint64(i) * 0x9e3779b97f4a7c15
				p.candidates(buf[:0], j, 3, n.rand, noneUnsuitable)
			}
		})
	}
}

// BenchmarkPlacement measures a whole placement at the entry: arrival, three
// quotes, reservation, grant, first token and end.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{20, 100, 350, 750} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			n := NewNode("entry-x", DefaultConfig(), 1)
			n.Step(0, newFleet(engines))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				placeOnce(b, n, i)
			}
		})
	}
}

func placeOnce(b *testing.B, n *Node, i int) {
	j := testJob(i)
	now := time.Duration(i) * time.Microsecond
	asked := make([]string, 0, 4)
	for _, a := range n.Step(now, Arrive{Job: j}) {
		asked = append(asked, a.(Send).Env.GetQuoteRequest().Engine)
	}
	for k, name := range asked {
		n.Step(now, Received{From: "o", Env: &peerpb.Envelope{Body: &peerpb.Envelope_QuoteReply{QuoteReply: &peerpb.QuoteReply{
			Engine: name, Id: j.Id, Attempt: 1, Owned: true, FirstTokenUs: int64(100 + k),
		}}}})
	}
	grant := &peerpb.Grant{Engine: asked[0], Id: j.Id, Attempt: 1}
	if len(n.Step(now, Received{From: "o", Env: &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: grant}}})) == 0 {
		b.Fatal("not started")
	}
	n.Step(now, StreamFirstToken{ID: j.Id, Attempt: 1})
	n.Step(now, StreamEnd{ID: j.Id, Attempt: 1})
	n.active = n.active[:0]
}

// BenchmarkOwner measures the owner's part of a placement by queue length.
func BenchmarkOwner(b *testing.B) {
	for _, queue := range []int{0, 50, 200} {
		b.Run(fmt.Sprint(queue), func(b *testing.B) {
			n := NewNode("own", DefaultConfig(), 1)
			n.Step(0, Directory{Engines: []EngineInfo{{Name: "e", Models: []string{"m"}, KVTotal: 1 << 30, Owner: "own"}}})
			n.Step(0, EngineReport{Report: engine.Report{Engine: "e", KVTotal: 1 << 30, PrefillPerSecond: 1e6, StepMS: 1}})
			for i := range queue {
				j := testJob(1_000_000 + i)
				j.RemainingUs = time.Hour.Microseconds()
				n.Step(0, Received{From: "x", Env: &peerpb.Envelope{Body: &peerpb.Envelope_Reserve{Reserve: &peerpb.Reserve{Engine: "e", Job: j}}}})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j := testJob(i)
				j.RemainingUs = time.Hour.Microseconds()
				for _, body := range []*peerpb.Envelope{
					{Body: &peerpb.Envelope_QuoteRequest{QuoteRequest: &peerpb.QuoteRequest{Engine: "e", Job: j}}},
					{Body: &peerpb.Envelope_Reserve{Reserve: &peerpb.Reserve{Engine: "e", Job: j}}},
					{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{Engine: "e", Id: j.Id, Attempt: 1, Stage: peerpb.Stage_STAGE_FIRST_TOKEN}}},
					{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{Engine: "e", Id: j.Id, Attempt: 1, Stage: peerpb.Stage_STAGE_DONE}}},
				} {
					n.Step(time.Duration(i)*time.Microsecond, Received{From: "x", Env: body})
				}
			}
		})
	}
}

// TestCandidatesDoNotAllocate bounds the allocations of selecting candidates,
// which must not grow with the number of engines.
func TestCandidatesDoNotAllocate(t *testing.T) {
	for _, engines := range []int{20, 750} {
		n := NewNode("entry-x", DefaultConfig(), 1)
		n.Step(0, newFleet(engines))
		j := testJob(1)
		var buf [4]*EngineInfo
		noneUnsuitable := func(*EngineInfo) bool { return false }
		got := testing.AllocsPerRun(100, func() { n.dir.pools["m"].candidates(buf[:0], j, 3, n.rand, noneUnsuitable) })
		if got > 3 {
			t.Fatalf("%d engines: %.0f allocations", engines, got)
		}
	}
}

// BenchmarkDirectory measures the rebuild of the directory after a change.
func BenchmarkDirectory(b *testing.B) {
	for _, engines := range []int{20, 350, 750} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := newFleet(engines)
			for b.Loop() {
				newDirectory(d.Engines)
			}
		})
	}
}

// BenchmarkPrefix measures the hashing of prompts.
func BenchmarkPrefix(b *testing.B) {
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		prompt := string(make([]byte, tokens*prefix.BytesPerToken))
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			for b.Loop() {
				prefix.Sample(prefix.Chain(prompt))
			}
		})
	}
}
