package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// FailSource makes the calls for one kind of object in the store fail, or has an object of that kind be unreadable.
// Operators and the callers of all other kinds are answered.
const FailSource Kind = "fail-source"

const (
	// sourceStream separates the draws of such faults from those of others.
	sourceStream = 8
	// minFailSource and extraFailSource bound how long such a fault lasts.
	minFailSource, extraFailSource = 500 * time.Millisecond, 8 * time.Second
	// oddEntry is the name of an object that cannot be read.
	oddEntry = "odd"
)

// Kinds of object whose calls fail.
const (
	configKind      = "config"
	serversKind     = "servers"
	evacuationsKind = "evacuations"
)

// sourceFailure is a way in which the calls for a kind of object fail.
type sourceFailure struct {
	kind   string
	faults storeserver.KindFaults
	spoil  storeserver.Spoil
}

// readable reports whether all but one object can still be read.
func (s sourceFailure) readable() bool { return s.spoil.Part != "" }

// sourceFailures are the ways that plans draw from.
var sourceFailures = makeSourceFailures()

func makeSourceFailures() (out []sourceFailure) {
	for _, kind := range []string{configKind, serversKind, evacuationsKind} {
		for _, f := range []storeserver.KindFaults{
			{Status: http.StatusServiceUnavailable}, {Status: http.StatusInternalServerError}, {Silent: true}, {Reset: true}, {CutShort: true}, {Garbled: true},
		} {
			out = append(out, sourceFailure{kind: kind, faults: f})
		}
		for _, part := range []storeserver.Part{storeserver.PartEvent, storeserver.PartDeleted, storeserver.PartName, storeserver.PartMetadata} {
			out = append(out, sourceFailure{kind: kind, spoil: storeserver.Spoil{Part: part, With: "[7]", Name: oddEntry, Lists: true, Watches: true}})
		}
	}
	return out
}

// addFailSource adds faults of this kind to a drawn plan.
func (p *Plan) addFailSource(seed uint64, span time.Duration) {
	r := rand.New(rand.NewPCG(seed, sourceStream))
	for range 2 {
		at := quietAtStart + time.Duration(r.Int64N(int64(span)))
		p.add(r, at, FailSource, min(minFailSource+time.Duration(r.Int64N(int64(extraFailSource))), quietAtStart+span-at))
	}
}

// failSource has the calls for a kind of object fail for a while.
func (r *run) failSource(f Fault) {
	failure := sourceFailures[f.Pick%uint64(len(sourceFailures))]
	end := r.site.beginSourceFailure(failure)
	time.Sleep(f.For.Std())
	end()
}

// beginSourceFailure begins a failure and returns the function that ends it.
func (s *site) beginSourceFailure(f sourceFailure) (end func()) {
	disturbed := s.sourceDisturbances[f.kind]
	if f.readable() {
		disturbed = new(disturbanceLog)
	}
	disturbed.begin()
	endFault := s.addFault(storeserver.Faults{Kinds: map[string]storeserver.KindFaults{f.kind: f.faults}, Spoil: map[string]storeserver.Spoil{f.kind: f.spoil}})
	if f.readable() {
		if err := s.store.Put(f.kind, oddEntry, map[string]any{"service": "odd"}); err != nil {
			panic(err)
		}
	}
	return func() {
		if f.readable() {
			s.store.Delete(f.kind, oddEntry)
		}
		endFault()
		disturbed.end()
	}
}
