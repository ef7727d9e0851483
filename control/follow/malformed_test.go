package follow_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// spoiltTexts are put in place of parts of answers. Empty leaves the part out.
var spoiltTexts = map[string]string{
	"missing": "", "null": "null", "a text": `"x"`, "a number": "7.5", "a list": "[[]]", "an object": `{"a":{}}`, "not UTF-8": "\"\xff\xfe\"",
	"deep": strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000), "huge": `"` + strings.Repeat("x", 300<<10) + `"`, "no JSON": "[oops]",
}

// Parts that are spoilt of a single object, and of whole answers.
var (
	spoiltOfObject = []storeserver.Part{
		storeserver.PartEvent, storeserver.PartDeleted, storeserver.PartObject, storeserver.PartMetadata, storeserver.PartName, storeserver.PartRevision, storeserver.PartSpec,
	}
	spoiltOfAnswer = []storeserver.Part{storeserver.PartPosition, storeserver.PartMore}
)

// spoilt returns the ways to spoil a part of the objects called odd, and of whole answers, in watches, lists or both.
func spoilt() (out []storeserver.Spoil, names []string) {
	for _, parts := range [][]storeserver.Part{spoiltOfObject, spoiltOfAnswer} {
		for _, part := range parts {
			for name, text := range spoiltTexts {
				for _, twice := range []bool{false, true} {
					for _, answers := range []string{"watches", "lists", "lists and watches"} {
						s := storeserver.Spoil{Part: part, With: text, Twice: twice, Name: "odd", Lists: strings.Contains(answers, "lists"), Watches: strings.Contains(answers, "watches")}
						out = append(out, s)
						names = append(names, fmt.Sprintf("%s, %s, twice %v, in %s", part, name, twice, answers))
					}
				}
			}
		}
	}
	return out, names
}

// Bounds while parts of answers cannot be read.
const (
	malformedInForce = time.Second
	// malformedCalls is how many times the calls at rest an instance may make.
	malformedCalls = 3
	// watchTime is how long a watch at rest takes.
	watchTime = 2100 * time.Millisecond
	// spoiltAtOnce is the number of instances that run at the same time.
	spoiltAtOnce = 15
	// spoiltStep takes one in so many of all ways to spoil, so that each part and each text is among them.
	spoiltStep = 7
)

// The kinds of object, with an object of that kind that concerns nothing else.
var spoiltKinds = []string{"servers", "config", "evacuations"}

var _ = Describe("an answer of the store with a part that cannot be read", func() {
	// Guards against one entry, event or position of a wrong form that keeps everything else in the answer from
	// being in force, and against reads of the store without end.
	It("costs a second at most of everything else and few calls", func() {
		ways, names := spoilt()
		var late []string
		for first := 0; first < len(ways); first += spoiltStep * spoiltAtOnce {
			var all []fallible
			for i := first; i < min(len(ways), first+spoiltStep*spoiltAtOnce); i += spoiltStep {
				kind := spoiltKinds[i/spoiltStep%len(spoiltKinds)]
				f := startOne(len(all), kind+": "+names[i])
				f.srv.SetFaults(storeserver.Faults{Spoil: map[string]storeserver.Spoil{kind: ways[i]}})
				Expect(f.srv.Put(kind, "odd", map[string]any{"service": "s"})).To(Succeed())
				all = append(all, f)
			}
			awaitWatching(all)
			late = append(late, playSpoilt(all)...)
			stopAll()
		}
		Expect(late).To(BeEmpty())
	})
})

// playSpoilt changes everything twice beside an unreadable object and returns what is late.
func playSpoilt(all []fallible) (late []string) {
	for _, round := range []int{1, 2} {
		late = append(late, inForce(all, malformedInForce, func(srv *storeserver.Server) {
			putConfig(srv, 10+round)
			_ = srv.Put("servers", "odd", map[string]any{"service": "s", "round": round})
			_ = srv.Put("evacuations", "odd", map[string]any{"round": round})
			putServer(srv, fmt.Sprint("b", round), "ready")
			putServer(srv, "c", []string{"", "ready", "draining"}[round])
		}, func(f *fallible) bool {
			_, listed := f.in.Servers().Get(fmt.Sprint("b", round))
			c, _ := f.in.Servers().Get("c")
			return f.in.Table().Version == uint64(10+round) && listed && c.Leaving == (round == 2)
		})...)
	}
	before := map[string]int{}
	for _, f := range all {
		before[f.what] = f.calls()
	}
	const span = 4 * watchTime
	time.Sleep(span)
	for _, f := range all {
		if n := f.calls() - before[f.what]; n > len(spoiltKinds)*(malformedCalls*int(span/watchTime)+1) {
			late = append(late, fmt.Sprintf("%s: %d calls", f.what, n))
		}
	}
	late = append(late, inForce(all, malformedInForce, func(srv *storeserver.Server) { putConfig(srv, 20) },
		func(f *fallible) bool { return f.in.Table().Version == 20 })...)
	return late
}
