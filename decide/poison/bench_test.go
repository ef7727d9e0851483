package poison_test

import (
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/poison"
)

// BenchmarkAssess measures the lookup of one request while others are suspects. While there
// are no suspects, requests are neither hashed nor looked up.
func BenchmarkAssess(b *testing.B) {
	t := poison.NewTable()
	for n := range 100 {
		at := time.Duration(n) * time.Millisecond
		t.AddCrash(at, poison.Identity{Body: []byte{byte(n)}}.Key(), crash(uint64(n), at))
	}
	id := poison.Identity{Customer: "school", Method: "POST", Host: "h", Target: "/a/1", Body: make([]byte, 500)}
	b.ReportAllocs()
	for b.Loop() {
		t.Assess(time.Second, id.Key(), 20, nil)
	}
}
