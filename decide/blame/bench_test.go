package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/blame"
)

// BenchmarkAssess measures the check of a request with twelve parts while a part is refused and
// the table is full. Without crashes in the table, requests are neither hashed nor looked up.
func BenchmarkAssess(b *testing.B) {
	t := fullTable()
	r := run(1, "c", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11")
	b.ReportAllocs()
	for b.Loop() {
		t.Assess(time.Minute, r)
	}
}

// BenchmarkCrash measures a crash of sixteen runs in a full table, with the next check.
func BenchmarkCrash(b *testing.B) {
	t := fullTable()
	r := run(1, "c", "1", "2")
	n := 0
	for b.Loop() {
		n++
		at := time.Minute + time.Duration(n)*time.Second
		for k := range 16 {
			t.AddCrash(at, blame.Exit{Server: uint64(1000 + n), At: at}, servers, run(n*16+k, "c", fmt.Sprint(k)))
		}
		t.Assess(at, r)
		t.Take()
	}
}

func fullTable() *blame.Table {
	t := blame.NewTable(blame.Options{})
	for n := range 192 {
		at := time.Duration(n) * 100 * time.Millisecond
		for k := range 16 {
			t.AddCrash(at, blame.Exit{Server: uint64(n), At: at}, servers, run(n*16+k, "c", "dead", fmt.Sprint(k), fmt.Sprint(n)))
		}
	}
	return t
}
