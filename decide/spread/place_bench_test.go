package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// BenchmarkPlaceDeep places a deep prompt over 60 engines that decode short answers: 155
// us and 62 KB. Computing the harm to each engine's answers once rather than for each
// number of helpers saves 50 us and 80 KB.
func BenchmarkPlaceDeep(b *testing.B) {
	f := newFleet(60)
	for i, s := range f.servers {
		f.ledger.Add(s.ID, spread.Load{Calls: int64(i % 13), HeldTokens: int64(i%13) * 6000, Prefill: time.Duration(i%7) * 10 * time.Millisecond})
	}
	r := spread.Request{
		FleetSize: 60, Prompt: 150_000, Answer: 800, FirstTarget: 3 * time.Second, MaxHold: 9 * time.Second, GapTarget: time.Second, TightestGap: 250 * time.Millisecond,
	}
	b.ReportAllocs()
	for b.Loop() {
		spread.Choose(engine, f.servers, f.ledger.Total, r)
	}
}

// BenchmarkPlaceAtSize measures placing by the number of engines of a cell. A held prompt
// is placed again 67 times a second.
func BenchmarkPlaceAtSize(b *testing.B) {
	for _, kind := range []struct {
		name   string
		prompt int64
	}{{"short", 5_000}, {"deep", 150_000}} {
		for _, n := range []int{60, 250, 1000} {
			f := newFleet(n)
			for i, s := range f.servers {
				f.ledger.Add(s.ID, spread.Load{Calls: int64(i % 13), HeldTokens: int64(i%13) * 6000, Prefill: time.Duration(i%7) * 10 * time.Millisecond})
			}
			r := spread.Request{
				FleetSize: n, Prompt: kind.prompt, Answer: 800, FirstTarget: 3 * time.Second, MaxHold: 9 * time.Second, GapTarget: time.Second, TightestGap: 250 * time.Millisecond,
			}
			b.Run(fmt.Sprintf("%s-%d", kind.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					spread.Choose(engine, f.servers, f.ledger.Total, r)
				}
			})
		}
	}
}
