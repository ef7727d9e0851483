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

// Promise names a guarantee of the platform that a run checks.
type Promise string

// The promises.
const (
	// Whole: each caller gets the complete answer to its own request.
	Whole Promise = "whole"
	// Once: a non-repeatable request runs at most once.
	Once Promise = "once"
	// NotRun: a request refused as not run has run on no server.
	NotRun Promise = "not-run"
	// InTime: an admitted request finishes or fails by its deadline.
	InTime Promise = "in-time"
	// Denied: a request with a valid route and key is never answered 404 or 401.
	Denied Promise = "denied"
	// InForce: an accepted configuration takes effect within configDeadline.
	InForce Promise = "in-force"
	// NeverBack: an instance never reverts to an older configuration.
	NeverBack Promise = "never-back"
	// Leaving: a leaving server gets no new work after leaveDeadline.
	Leaving Promise = "leaving"
	// Drained: a graceful shutdown breaks off no request and ends by itself.
	Drained Promise = "drained"
	// Answered: a request that was read whole ends in an answer or in a refusal, whatever
	// planned work goes on and however long servers are silent.
	Answered Promise = "answered"
	// Limited: a server gets no more than it says that it takes, from all instances together.
	Limited Promise = "limited"
	// Contained: a request that crashes engines crashes only a few of them.
	Contained Promise = "contained"
	// Released: no engine memory stays reserved after the last request.
	Released Promise = "released"
	// Recovered: callers are served as before once the faults have ended.
	Recovered Promise = "recovered"
	// Bounded: memory and file descriptors stay within the machine's limits.
	Bounded Promise = "bounded"
	// Explained: the logs name each refused or failed request.
	Explained Promise = "explained"
)

// Bounds of the promises, as the platform states them for small sites.
const (
	// settlingTime is the undisturbed time after which bounds apply.
	settlingTime = 3 * time.Second
	// configDeadline bounds the time until an accepted configuration takes effect.
	// rollbackGrace is the time from the first served request on a route until a denial
	// counts as a rollback.
	configDeadline, rollbackGrace = 2 * time.Second, 250 * time.Millisecond
	// leaveDeadline bounds the time that a leaving server may still get new work.
	leaveDeadline = 2 * time.Second
	// limitDelay is the time until all instances keep to a limit that a server names, limitWindow
	// the length of the windows in which they do, limitSlack the requests in one over it.
	limitDelay, limitWindow, limitSlack = time.Second, 4 * time.Second, 2
	// answerGrace is how far past its deadline a final answer may arrive.
	answerGrace = 500 * time.Millisecond
	// lossSlack is how long a connection may take to close under a request that was not read.
	lossSlack = 200 * time.Millisecond
	// timeoutMargin is how long before its deadline a request may be given up.
	timeoutMargin = 100 * time.Millisecond
	// minAcceptAfterTerm is how long an instance accepts requests after SIGTERM at least.
	minAcceptAfterTerm = 2 * time.Second
	// In the recoveryWindow at the end of a run, minServedShare of requests must succeed.
	recoveryWindow, minServedShare = 3 * time.Second, 0.95
	// maxCrashes bounds the engines that one request may crash: three, plus three retries.
	maxCrashes = 6
	// releaseDeadline bounds the time until unused engine memory is released.
	releaseDeadline     = 10 * time.Second
	releasePollInterval = 50 * time.Millisecond
	// What an instance may use of its machine: three quarters of the memory, all descriptors.
	maxMemoryKB, maxOpenFiles = 284 << 10 / 4 * 3, 4200
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

// checker checks the records of a run against the promises.
type checker struct {
	site         *site
	fleet        *fleet
	trafficStart time.Time
	end          time.Time
	records      []record
	violations   []Violation
	// hostStalls records when the host of the whole run had no processor time for it.
	hostStalls *disturbanceLog
	// byID are the records by the ID of the request, nil before they are needed.
	byID map[string]record
}

func (c *checker) addViolation(p Promise, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, at.Sub(c.trafficStart), fmt.Sprintf(format, args...)})
}

func (c *checker) checkAll() {
	slices.SortFunc(c.records, func(a, b record) int { return a.sent.Compare(b.sent) })
	runs := c.runCounts()
	seen := c.seenIDs()
	for _, r := range c.records {
		c.checkWhole(r)
		c.checkOnce(r, runs[r.id])
		c.checkInTime(r)
		c.checkDrained(r)
		c.checkAnswered(r, seen[r.id])
		c.checkDenied(r)
	}
	c.checkExits()
	c.checkConfiguration()
	c.checkLeaving()
	c.checkLimited()
	c.checkPaced()
	c.checkEvacuated()
	c.checkHeard()
	c.checkRested()
	c.checkContained()
	c.checkRecovered()
	c.checkExplained()
}

// runCounts returns how often each request ran, summed over all servers.
func (c *checker) runCounts() map[string]int {
	out := map[string]int{}
	for _, v := range c.site.allServers() {
		for _, id := range v.standin.RunIDs() {
			out[id] += v.standin.Runs(id)
		}
	}
	return out
}

func expectedBody(r record) string {
	if r.kind.promptTokens == 0 {
		return workerserver.Body(r.id)
	}
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(workerserver.Event(r.id, n))
	}
	return b.String()
}

func (c *checker) checkWhole(r record) {
	if r.Err == nil && r.Status == http.StatusOK && r.Body != expectedBody(r) {
		c.addViolation(Whole, r.sent, "%s at %s: got %d bytes, expected %d: %.40q", r.id, r.sentTo.name, len(r.Body), len(expectedBody(r)), r.Body)
	}
}

func (c *checker) checkOnce(r record, runs int) {
	if !r.kind.atMostOnce {
		return
	}
	if runs > 1 {
		c.addViolation(Once, r.sent, "%s at %s ran %d times", r.id, r.sentTo.name, runs)
	}
	if r.Err == nil && caller.NotRun(r.Status) && runs > 0 {
		c.addViolation(NotRun, r.sent, "%s at %s was refused as not run with %d, but ran", r.id, r.sentTo.name, r.Status)
	}
}

func (c *checker) checkInTime(r record) {
	limit := deadline
	if r.probe >= 0 {
		limit = probeTimeout
	}
	if took := r.done.Sub(r.sent); took > limit+answerGrace && r.sentTo.disturbances.undisturbed(r.sent.Add(-settlingTime), r.done) && c.hostStalls.undisturbed(r.sent, r.done) {
		c.addViolation(InTime, r.sent, "%s at %s took %s, limit %s, status %d, error %v", r.id, r.sentTo.name, took, limit, r.Status, r.Err)
	}
}

// checkDrained checks requests that were in progress at SIGTERM or arrived soon after it.
func (c *checker) checkDrained(r record) {
	sigtermAt := r.sentTo.sigtermAtByLife[r.life]
	if r.Err == nil || r.sentAhead || c.timeIsUp(r) {
		return
	}
	if sigtermAt.IsZero() || r.done.Before(sigtermAt) || r.sent.After(sigtermAt.Add(minAcceptAfterTerm)) {
		return
	}
	if r.sentTo.disturbances.undisturbed(r.sent.Add(-settlingTime), r.done) && c.serversUndisturbed(r.sent.Add(-settlingTime), r.done) {
		c.addViolation(Drained, r.sent, "%s at %s, SIGTERM at %.3fs: %v", r.id, r.sentTo.name, sigtermAt.Sub(c.trafficStart).Seconds(), r.Err)
	}
}

// checkAnswered checks the requests that ended without an answer. What servers, instances or
// connections did to them is an excuse; signals, changes of the configuration and the silence of
// servers are none.
func (c *checker) checkAnswered(r record, passedOn bool) {
	if r.Err == nil || c.timeIsUp(r) || !c.unbroken(r) {
		return
	}
	read := passedOn || !r.sentAhead && r.done.Sub(r.sent) > lossSlack
	if !read {
		return
	}
	c.addViolation(Answered, r.sent, "%s (%s) at %s, life %d, got no answer after %.3fs, passed on %t, status %d, %d bytes: %v; log: %s",
		r.id, r.kind.path, r.sentTo.name, r.life, r.done.Sub(r.sent).Seconds(), passedOn, r.Status, len(r.Body), r.Err, c.lastLogLine(r))
}

// lastLogLine returns the last line about a request in the log of its instance.
func (c *checker) lastLogLine(r record) string {
	raw, err := os.ReadFile(c.fleet.logPath(r.sentTo))
	if err != nil {
		return err.Error()
	}
	last := "names no such request"
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, `"`+r.id+`"`) {
			last = strings.TrimSpace(line)
		}
	}
	return last
}

// timeIsUp reports whether a request has ended no sooner than its deadline or its route's timeout.
func (c *checker) timeIsUp(r record) bool {
	limit := deadline
	if r.probe >= 0 {
		limit = probeTimeout
	}
	if !c.site.shorter.undisturbed(r.sent, r.done) {
		limit = min(limit, shortTimeoutMS*time.Millisecond)
	}
	return r.done.Sub(r.sent) > limit-timeoutMargin
}

// unbroken reports whether no server and no instance broke off requests around a request.
func (c *checker) unbroken(r record) bool {
	from := r.sent.Add(-settlingTime)
	broken := func(in *instance) bool { return !in.breaks.undisturbed(from, r.done) }
	return !slices.ContainsFunc(c.fleet.instances, broken) && c.serversUndisturbed(from, r.done)
}

// seenIDs returns the requests that arrived at servers.
func (c *checker) seenIDs() map[string]bool {
	out := map[string]bool{}
	for _, v := range c.site.allServers() {
		for _, s := range v.standin.Seen() {
			out[s.ID] = true
		}
	}
	return out
}

// checkExits checks that processes exit only if they are asked to, and with success.
func (c *checker) checkExits() {
	for _, in := range c.fleet.instances {
		for _, e := range in.exits {
			c.addViolation(Drained, e.at, "%s exited: %v", in.name, e.err)
		}
	}
}

func (c *checker) serversUndisturbed(from, to time.Time) bool {
	for _, v := range c.site.allServers() {
		if !v.disturbances.undisturbed(from, to) {
			return false
		}
	}
	return true
}

// checkDenied checks requests to the routes that every configuration contains.
func (c *checker) checkDenied(r record) {
	if r.probe < 0 && r.kind.alwaysAllowed() && r.Err == nil && (r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized) {
		c.addViolation(Denied, r.sent, "%s at %s got %d for %s", r.id, r.sentTo.name, r.Status, r.kind.path)
	}
}

// checkConfiguration checks the answers to probes of added routes.
func (c *checker) checkConfiguration() {
	type process struct {
		at *instance
		n  int
	}
	// servedRoute is the newest route that a process served, and since when.
	type servedRoute struct {
		route int
		since time.Time
	}
	newest := map[process]servedRoute{}
	for _, r := range c.records {
		if r.probe < 0 || r.Err != nil {
			continue
		}
		proc := process{r.sentTo, r.life}
		switch r.Status {
		case http.StatusOK:
			if s, known := newest[proc]; !known || r.probe > s.route {
				newest[proc] = servedRoute{r.probe, r.done}
			}
		case http.StatusNotFound, http.StatusUnauthorized:
			if s, known := newest[proc]; known && r.probe <= s.route && r.sent.After(s.since.Add(rollbackGrace)) {
				c.addViolation(NeverBack, r.sent, "%s answered %d for route %d, which it had served before", r.sentTo.name, r.Status, r.probe)
			}
			acknowledged := c.site.addedAt[r.probe]
			if c.known(configKind, r.sent.Add(-settlingTime), r.sent) && r.sent.After(acknowledged.Add(configDeadline)) && c.boundsApply(r.sentTo, r.sent) {
				c.addViolation(InForce, r.sent, "%s answered %d for route %d, acknowledged %.3fs before", r.sentTo.name, r.Status, r.probe, r.sent.Sub(acknowledged).Seconds())
			}
		}
	}
}

// boundsApply reports whether an instance and what it depends on were undisturbed for
// settlingTime, so that time bounds apply to it.
func (c *checker) boundsApply(in *instance, at time.Time) bool {
	from := at.Add(-settlingTime)
	return c.site.disturbances.undisturbed(from, at) && in.disturbances.undisturbed(from, at) && in.maintenance.undisturbed(from, at) && c.hostStalls.undisturbed(from, at)
}

// known reports whether calls for a kind of object in the store were answered.
func (c *checker) known(kind string, from, to time.Time) bool {
	return c.site.sourceDisturbances[kind].undisturbed(from, to)
}

func (c *checker) checkLeaving() {
	for _, v := range c.site.allServers() {
		if v.leftAt.IsZero() {
			continue
		}
		for _, s := range v.standin.Seen() {
			linkDisturbed := !v.disturbances.undisturbed(s.At.Add(-settlingTime), s.At)
			if linkDisturbed || !c.known(serversKind, v.leftAt.Add(-settlingTime), s.At) || !s.At.After(v.leftAt.Add(leaveDeadline)) || !c.site.disturbances.undisturbed(v.leftAt.Add(-settlingTime), s.At) || !c.boundsApplyToAll(s.At) {
				continue
			}
			c.addViolation(Leaving, s.At, "%s got request %s %.3fs after it began to leave", v.id, s.ID, s.At.Sub(v.leftAt).Seconds())
		}
	}
}

func (c *checker) checkLimited() {
	for _, v := range c.site.allServers() {
		for _, l := range v.limits {
			c.checkLimit(Limited, v, l)
		}
	}
}

// checkLimit checks the windows that begin with a request while a server takes a limited rate.
func (c *checker) checkLimit(p Promise, v *server, l namedLimit) {
	var at []time.Time
	for _, s := range v.standin.Seen() {
		if s.At.After(l.from.Add(limitDelay)) && s.At.Before(l.to) {
			at = append(at, s.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for i, begin := range at {
		n := 0
		for n = 0; i+n < len(at) && at[i+n].Sub(begin) < limitWindow; n++ {
		}
		last := at[i+n-1]
		if float64(n) <= limitWindow.Seconds()*l.perSecond+limitSlack || !c.boundsApplyToAll(last) || p == Paced && !c.known(serversKind, begin.Add(-settlingTime), last) || !v.disturbances.undisturbed(begin, last) {
			continue
		}
		c.addViolation(p, last, "%s got %d requests in %s and takes %g a second", v.id, n, limitWindow, l.perSecond)
		return
	}
}

func (c *checker) boundsApplyToAll(at time.Time) bool {
	return !slices.ContainsFunc(c.fleet.instances, func(in *instance) bool { return !c.boundsApply(in, at) })
}

func (c *checker) checkContained() {
	crashes := 0
	for _, v := range c.site.allServers() {
		crashes += v.standin.Crashes()
	}
	if crashes > maxCrashes {
		c.addViolation(Contained, c.end, "one request crashed %d engines", crashes)
	}
}

func (c *checker) checkRecovered() {
	all, good := 0, 0
	for _, r := range c.records {
		if r.probe >= 0 || r.sentAhead || r.sent.Before(c.end.Add(-recoveryWindow)) {
			continue
		}
		all++
		if r.Err == nil && r.Status == http.StatusOK {
			good++
		}
	}
	if all == 0 || float64(good) < minServedShare*float64(all) {
		c.addViolation(Recovered, c.end, "%d of %d requests of the last %s were served", good, all, recoveryWindow)
	}
}

// checkReleased waits until no engine has memory reserved.
func (c *checker) checkReleased() {
	var reserved int64
	for deadlineAt := time.Now().Add(releaseDeadline); time.Now().Before(deadlineAt); time.Sleep(releasePollInterval) {
		reserved = 0
		for _, v := range c.site.allServers() {
			reserved += v.standin.Reserved()
		}
		if reserved == 0 {
			return
		}
	}
	c.addViolation(Released, c.end, "%d tokens are still reserved %s after the last request", reserved, releaseDeadline)
}

// checkBounded checks the peak of the memory, and the descriptors, of the running processes.
func (c *checker) checkBounded() error {
	for _, in := range c.fleet.instances {
		memory, err := peakKB(in.pid())
		if err != nil {
			return err
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.pid()))
		if err != nil {
			return errors.Wrap(err, in.name)
		}
		if memory > maxMemoryKB || len(files) > maxOpenFiles {
			c.addViolation(Bounded, c.end, "%s: %d KB of memory, %d descriptors", in.name, memory, len(files))
		}
	}
	return nil
}

func peakKB(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kb int64
			_, err := fmt.Sscan(rest, &kb)
			return kb, err
		}
	}
	return 0, errors.New("memory: the process status has no VmRSS line")
}

// checkExplained searches the log of each instance for the requests that the instance
// itself refused or failed.
func (c *checker) checkExplained() {
	for _, in := range c.fleet.instances {
		raw, err := os.ReadFile(c.fleet.logPath(in))
		if err != nil {
			c.addViolation(Explained, c.end, "%s: %v", in.name, err)
			continue
		}
		for _, r := range c.records {
			refusedByInstance := r.Err == nil && r.Status >= http.StatusBadRequest && r.Seal == ""
			if refusedByInstance && r.sentTo == in && in.disturbances.undisturbed(r.sent.Add(-settlingTime), r.done.Add(settlingTime)) && !bytes.Contains(raw, []byte(`"`+r.id+`"`)) {
				c.addViolation(Explained, r.sent, "%s got %d at %s, whose log does not name it", r.id, r.Status, in.name)
			}
		}
	}
}
