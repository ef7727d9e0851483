package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Promise is what is checked.
type Promise string

// The promises.
const (
	// Whole: each caller gets the whole answer to its own request.
	Whole Promise = "whole"
	// Once: a request that may not be repeated runs at most once.
	Once Promise = "once"
	// NotRun: a refusal that says that the request did not run is true.
	NotRun Promise = "not-run"
	// InTime: admitted work finishes or fails in its time.
	InTime Promise = "in-time"
	// Denied: nobody is told that there is no such route or key who uses one in force.
	Denied Promise = "denied"
	// InForce: an accepted configuration is in force within seconds.
	InForce Promise = "in-force"
	// NeverBack: an accepted configuration is never taken back.
	NeverBack Promise = "never-back"
	// Leaving: a leaving server gets no new work after seconds.
	Leaving Promise = "leaving"
	// Drained: a shutdown cuts nothing.
	Drained Promise = "drained"
	// Contained: a request that crashes engines ends few of them.
	Contained Promise = "contained"
	// Released: no engine memory is lost.
	Released Promise = "released"
	// Recovered: callers are served as before once troubles are over.
	Recovered Promise = "recovered"
	// Bounded: memory and descriptors stay within the machine's.
	Bounded Promise = "bounded"
	// Explained: each refused or failed request is in the logs.
	Explained Promise = "explained"
)

// Bounds of the promises, as the platform states them for small sites.
const (
	// stable is the time without disturbance from which bounds hold.
	stable = 3 * time.Second
	// inForce is within which a configuration is in force, rollback after which its effect
	// must be seen again.
	inForce, rollback = 2 * time.Second, 250 * time.Millisecond
	// drain is within which a leaving server gets no new work.
	drain = 2 * time.Second
	// late is by how much a final answer may be late.
	late = 500 * time.Millisecond
	// servesOn is how long an instance that was told to end takes new requests at least.
	servesOn = 2 * time.Second
	// judged is the end of the run in which callers must be served again, by this share.
	judged, served = 3 * time.Second, 0.95
	// mostCrashes is how many engines one request may end: three, and three retries more.
	mostCrashes = 6
	// released is within which memory must be free once nothing uses it.
	released     = 10 * time.Second
	releasedPoll = 50 * time.Millisecond
	// Limits of the machine of an instance.
	mostMemoryKB, mostFiles = 284 << 10, 4200
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	// At is the time since the start of traffic.
	At   time.Duration
	What string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %-10s %s", v.At.Seconds(), v.Promise, v.What)
}

// judge looks through what happened in a run.
type judge struct {
	site  *site
	fleet *fleet
	began time.Time
	end   time.Time
	got   []record
	found []Violation
	// machine knows when the machine of the run itself stood still.
	machine *calm
}

func (j *judge) violate(p Promise, at time.Time, format string, args ...any) {
	j.found = append(j.found, Violation{p, at.Sub(j.began), fmt.Sprintf(format, args...)})
}

func (j *judge) all() {
	slices.SortFunc(j.got, func(a, b record) int { return a.sent.Compare(b.sent) })
	runs := j.runs()
	for _, r := range j.got {
		j.whole(r)
		j.once(r, runs[r.id])
		j.inTime(r)
		j.drained(r)
		j.denied(r)
	}
	j.configuration()
	j.leaving()
	j.contained()
	j.recovered()
	j.explained()
}

// runs counts how often each request ran, over all servers.
func (j *judge) runs() map[string]int {
	out := map[string]int{}
	for _, v := range j.site.all() {
		for _, id := range v.stand.RunIDs() {
			out[id] += v.stand.Runs(id)
		}
	}
	return out
}

func expected(r record) string {
	if r.sort.promptTokens == 0 {
		return workerserver.Body(r.id)
	}
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(workerserver.Event(r.id, n))
	}
	return b.String()
}

func (j *judge) whole(r record) {
	if r.Err == nil && r.Status == http.StatusOK && r.Body != expected(r) {
		j.violate(Whole, r.sent, "%s at %s: %d bytes of %d, %.40q", r.id, r.at.name, len(r.Body), len(expected(r)), r.Body)
	}
}

func (j *judge) once(r record, runs int) {
	if !r.sort.once {
		return
	}
	if runs > 1 {
		j.violate(Once, r.sent, "%s at %s ran %d times", r.id, r.at.name, runs)
	}
	if r.Err == nil && caller.NotRun(r.Status) && runs > 0 {
		j.violate(NotRun, r.sent, "%s at %s got %d and ran", r.id, r.at.name, r.Status)
	}
}

func (j *judge) inTime(r record) {
	limit := deadline
	if r.probe >= 0 {
		limit = probeTimeout
	}
	if took := r.done.Sub(r.sent); took > limit+late && r.at.calm.during(r.sent.Add(-stable), r.done) && j.machine.during(r.sent, r.done) {
		j.violate(InTime, r.sent, "%s at %s took %s of %s, status %d, %v", r.id, r.at.name, took, limit, r.Status, r.Err)
	}
}

// drained looks at requests that an instance was at, or took, when it was told to end.
func (j *judge) drained(r record) {
	told := r.at.toldOf[r.life]
	if r.Err == nil || told.IsZero() || r.done.Before(told) || r.sent.After(told.Add(servesOn)) {
		return
	}
	if r.at.calm.during(r.sent.Add(-stable), r.done) && j.serversCalm(r.sent.Add(-stable), r.done) {
		j.violate(Drained, r.sent, "%s at %s, told to end at %.3fs: %v", r.id, r.at.name, told.Sub(j.began).Seconds(), r.Err)
	}
}

func (j *judge) serversCalm(from, to time.Time) bool {
	for _, v := range j.site.all() {
		if !v.calm.during(from, to) {
			return false
		}
	}
	return true
}

// denied looks at routes that every configuration has.
func (j *judge) denied(r record) {
	if r.probe < 0 && r.Err == nil && (r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized) {
		j.violate(Denied, r.sent, "%s at %s got %d for %s", r.id, r.at.name, r.Status, r.sort.path)
	}
}

// configuration looks at the answers for routes that were added.
func (j *judge) configuration() {
	type life struct {
		at *instance
		n  int
	}
	// seen is the newest route that a life served, and since when.
	type seen struct {
		route int
		since time.Time
	}
	newest := map[life]seen{}
	for _, r := range j.got {
		if r.probe < 0 || r.Err != nil {
			continue
		}
		l := life{r.at, r.life}
		switch r.Status {
		case http.StatusOK:
			if s, known := newest[l]; !known || r.probe > s.route {
				newest[l] = seen{r.probe, r.done}
			}
		case http.StatusNotFound, http.StatusUnauthorized:
			if s, known := newest[l]; known && r.probe <= s.route && r.sent.After(s.since.Add(rollback)) {
				j.violate(NeverBack, r.sent, "%s got %d for route %d, which it had served", r.at.name, r.Status, r.probe)
			}
			acked := j.site.added[r.probe]
			if r.sent.After(acked.Add(inForce)) && j.inTouch(r.at, r.sent) {
				j.violate(InForce, r.sent, "%s got %d for route %d, acknowledged %.3fs before", r.at.name, r.Status, r.probe, r.sent.Sub(acked).Seconds())
			}
		}
	}
}

// inTouch reports whether bounds hold for an instance at a time.
func (j *judge) inTouch(in *instance, at time.Time) bool {
	from := at.Add(-stable)
	return j.site.calm.during(from, at) && in.calm.during(from, at) && in.planned.during(from, at) && j.machine.during(from, at)
}

func (j *judge) leaving() {
	for _, v := range j.site.all() {
		if v.left.IsZero() {
			continue
		}
		for _, s := range v.stand.Seen() {
			heldUp := !v.calm.during(s.At.Add(-stable), s.At)
			if heldUp || !s.At.After(v.left.Add(drain)) || !j.site.calm.during(v.left.Add(-stable), s.At) || !j.allInTouch(s.At) {
				continue
			}
			j.violate(Leaving, s.At, "%s got %s %.3fs after it left", v.id, s.ID, s.At.Sub(v.left).Seconds())
		}
	}
}

func (j *judge) allInTouch(at time.Time) bool {
	return !slices.ContainsFunc(j.fleet.instances, func(in *instance) bool { return !j.inTouch(in, at) })
}

func (j *judge) contained() {
	crashes := 0
	for _, v := range j.site.all() {
		crashes += v.stand.Crashes()
	}
	if crashes > mostCrashes {
		j.violate(Contained, j.end, "one request ended %d engines", crashes)
	}
}

func (j *judge) recovered() {
	all, good := 0, 0
	for _, r := range j.got {
		if r.probe >= 0 || r.sent.Before(j.end.Add(-judged)) {
			continue
		}
		all++
		if r.Err == nil && r.Status == http.StatusOK {
			good++
		}
	}
	if all == 0 || float64(good) < served*float64(all) {
		j.violate(Recovered, j.end, "%d of %d requests of the last %s were served", good, all, judged)
	}
}

// released waits until no engine has memory set aside.
func (j *judge) released() {
	var kept int64
	for until := time.Now().Add(released); time.Now().Before(until); time.Sleep(releasedPoll) {
		kept = 0
		for _, v := range j.site.all() {
			kept += v.stand.Reserved()
		}
		if kept == 0 {
			return
		}
	}
	j.violate(Released, j.end, "%d tokens are set aside %s after the last request", kept, released)
}

// bounded looks at the processes that run now.
func (j *judge) bounded() error {
	for _, in := range j.fleet.instances {
		memory, err := residentKB(in.process())
		if err != nil {
			return err
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.process()))
		if err != nil {
			return errors.Wrap(err, in.name)
		}
		if memory > mostMemoryKB || len(files) > mostFiles {
			j.violate(Bounded, j.end, "%s: %d KB of memory, %d descriptors", in.name, memory, len(files))
		}
	}
	return nil
}

func residentKB(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb int64
			_, err := fmt.Sscan(rest, &kb)
			return kb, err
		}
	}
	return 0, errors.New("memory: no line of it")
}

// explained looks for the requests that an instance itself refused or failed in its log.
func (j *judge) explained() {
	for _, in := range j.fleet.instances {
		raw, err := os.ReadFile(j.fleet.logOf(in))
		if err != nil {
			j.violate(Explained, j.end, "%s: %v", in.name, err)
			continue
		}
		for _, r := range j.got {
			own := r.Err == nil && r.Status >= http.StatusBadRequest && r.Seal == ""
			if own && r.at == in && in.calm.during(r.sent.Add(-stable), r.done.Add(stable)) && !bytes.Contains(raw, []byte(`"`+r.id+`"`)) {
				j.violate(Explained, r.sent, "%s got %d at %s, whose log does not name it", r.id, r.Status, in.name)
			}
		}
	}
}
