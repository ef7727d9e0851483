//go:build review

package kit

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["part-kill"] = playPartKill
	cases["part-release"] = playPartRelease
}

// Times and numbers of the case "part".
const (
	// backAfter is how long a crashed worker is away.
	backAfter = 2500 * time.Millisecond
	// waveFor is how long requests with the part come, allowedSends how many of them may reach workers
	// later than the stability window after the fifth crash.
	waveFor                 = 12 * time.Second
	crashesKnown            = 5
	allowedSends            = 3
	restartAfter            = 500 * time.Millisecond
	betweenWaves, afterKill = 4 * time.Second, 8 * time.Second
)

// deadlyClass are prompts with the part, of which no two are alike.
var deadlyClass = class{
	name: "with the part", method: http.MethodPost, path: "/menu/", deadline: 10 * time.Second, tokens: "4960,100",
	parts: func() string { return firstPart() + "," + deadlyPart + ":200" }, perSecond: 18,
}

// startPart starts a site whose model workers crash under the part, and its usual traffic. Half of them are of
// another version, as in the middle of a release.
func (c *env) startPart() (s *site, crashes *crashLog, stop func()) {
	s, crashes = c.newSite(8, 18, 3), &crashLog{}
	for i, w := range slices.Clone(s.workers) {
		s.crashable(w, crashes)
		if w.service == modelService && i%2 == 1 {
			w.version = "v2"
			w.put("ready")
		}
	}
	s.fleet.start()
	s.fleet.mustBeReady()
	time.Sleep(stabilityWindow)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.traffic.run(ctx, zones, classes)
		close(done)
	}()
	time.Sleep(2 * time.Second)
	return s, crashes, func() {
		cancel()
		<-done
	}
}

// playPartKill checks BUDGET for requests with a part that crashes workers, in two waves. All instances are
// killed between them.
func playPartKill(c *env) bool {
	s, crashes, stop := c.startPart()
	s.wave(waveFor)
	time.Sleep(betweenWaves)
	started := time.Time{}
	if c.trouble {
		started = s.killAll()
	}
	time.Sleep(afterKill)
	s.wave(waveFor)
	time.Sleep(2 * time.Second)
	stop()
	return s.checkPart(crashes, started)
}

// Times of the case "part-release".
const (
	releaseAt, releasePause = 24 * time.Second, 700 * time.Millisecond
	longWave                = 50 * time.Second
)

// playPartRelease checks the same while half of the model workers are replaced by those of a new version.
func playPartRelease(c *env) bool {
	s, crashes, stop := c.startPart()
	released := make(chan struct{})
	go func() {
		defer close(released)
		time.Sleep(releaseAt)
		if c.trouble {
			s.release(crashes)
		}
	}()
	s.wave(longWave)
	<-released
	stop()
	return s.checkPart(crashes, time.Time{})
}

// release replaces half of the model workers, one after the other: the new one starts first, then the old
// one reports that it leaves.
func (s *site) release(crashes *crashLog) {
	record("release begins")
	s.mu.Lock()
	all := slices.Clone(s.workers)
	s.mu.Unlock()
	all = slices.DeleteFunc(all, func(w *worker) bool { return w.service != modelService || w.isGone() })
	for _, w := range all[:len(all)/2] {
		s.mu.Lock()
		next := s.newWorker(w.service, 0)
		next.version = "v3"
		s.crashable(next, crashes)
		next.start()
		s.mu.Unlock()
		time.Sleep(releasePause)
		if !w.isGone() {
			go w.leave(true, drainBound+time.Second)
		}
	}
	record("release ends")
}

// crashLog are the crashes of workers.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// crashable has a worker crash under the part and come back as another one at its address.
func (s *site) crashable(w *worker, crashes *crashLog) {
	w.onCrash = func() {
		crashes.add()
		time.AfterFunc(backAfter, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			next := s.newWorker(w.service, 0)
			next.addr, next.zone, next.version = w.addr, w.zone, w.version
			s.crashable(next, crashes)
			next.start()
		})
	}
}

// wave sends requests with the part for a while.
func (s *site) wave(d time.Duration) {
	record("requests with the part begin")
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	s.traffic.run(ctx, zones, []class{deadlyClass})
	record("requests with the part end")
}

// killAll kills all instances at once and starts them again. It returns when that was.
func (s *site) killAll() time.Time {
	for _, in := range s.fleet.instances {
		in.signal(syscall.SIGKILL)
	}
	for _, in := range s.fleet.instances {
		in.wait()
	}
	time.Sleep(restartAfter)
	s.fleet.start()
	return time.Now()
}

// versionOf returns the software version of a worker.
func (s *site) versionOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.workers, func(w *worker) bool { return w.id == id })
	return s.workers[i].version
}

// checkPart checks that few requests with the part reached workers later than the stability window after
// the fifth crash, from instances in touch: those that ran for the stability window before. started is when all instances
// were started again, zero if they were not.
func (s *site) checkPart(crashes *crashLog, started time.Time) bool {
	crashes.mu.Lock()
	at := slices.Clone(crashes.at)
	crashes.mu.Unlock()
	record("%d crashes of workers", len(at))
	for _, t := range at {
		record("crash at %.3f", since(t))
	}
	s.recordAnswers()
	if len(at) < crashesKnown {
		record("fewer than %d crashes", crashesKnown)
		return false
	}
	from := at[crashesKnown-1].Add(stabilityWindow)
	sends := 0
	var late []time.Time
	for _, v := range s.seen.list() {
		outOfTouch := !started.IsZero() && v.at.After(started.Add(-time.Second)) && v.at.Before(started.Add(stabilityWindow))
		if !v.deadly || v.at.Before(from) || outOfTouch {
			continue
		}
		sends++
		late = append(late, v.at)
		record("request %s with the part reached worker %s of %s at %.3f", v.id, v.worker, s.versionOf(v.worker), since(v.at))
	}
	record("%d sound prompts were cut or failed as workers crashed under these", s.cutBy(late))
	record("%d requests with the part reached workers later than %.3f, %d are allowed", sends, since(from), allowedSends)
	return sends > allowedSends
}

// cutBy counts the sound prompts that were in progress and failed within a short time after the given
// times.
func (s *site) cutBy(at []time.Time) (n int) {
	const crashTakes = 300 * time.Millisecond
	for _, a := range s.traffic.all {
		failed := a.err != nil || a.status == http.StatusBadGateway
		if a.class == deadlyClass.name || !failed {
			continue
		}
		if slices.ContainsFunc(at, func(t time.Time) bool {
			return a.sent.Before(t.Add(crashTakes)) && a.done.After(t) && a.done.Before(t.Add(crashTakes))
		}) {
			n++
		}
	}
	return n
}
