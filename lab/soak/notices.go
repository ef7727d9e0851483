package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Faults in which backend servers say something of themselves.
const (
	// SayLeaving makes backend servers say in their answers that they leave while the store lists
	// them as ready. Others take their place, and their entries are removed later.
	SayLeaving Kind = "leaving"
	// AskRest makes backend servers turn some requests away and ask for rest.
	AskRest Kind = "rest"
)

// Promises about what backend servers say of themselves.
const (
	// Heard: a server gets nothing from an instance that has passed on that the server leaves.
	Heard Promise = "heard"
	// Rested: a server gets nothing from an instance that it has asked for rest, until its end.
	Rested Promise = "rested"
)

// HidesWords makes servers say neither that they leave nor how long they want rest.
const HidesWords Mutant = "hides-words"

const (
	// heardDeadline bounds the time from an answer in which a server says that it leaves until the
	// instance that passed it on sends nothing more to it.
	heardDeadline = 500 * time.Millisecond
	// restSlack is the time from a refusal from which requests count against a rest, maxInRest the
	// number that may come all the same.
	restSlack, maxInRest = 500 * time.Millisecond, 2
	// restShare is the share of the requests that a resting server turns away.
	restShare = 0.3
)

// namedRest is a rest as it is asked for, and how long it lasts.
type namedRest struct {
	value string
	lasts time.Duration
}

// namedRests are the rests that servers ask for.
var namedRests = []namedRest{{"1", time.Second}, {"3", 3 * time.Second}, {"2.5", 2500 * time.Millisecond}, {"soon", 0}}

// rest is the rest that an AskRest fault has servers ask for.
func (f Fault) rest() namedRest { return namedRests[f.Pick%uint64(len(namedRests))] }

// addNotices adds faults of these kinds to a drawn plan.
func (p *Plan) addNotices(r *rand.Rand, span time.Duration) {
	p.add(r, quietAtStart, AskRest, span/2)
	p.add(r, quietAtStart+span/2, SayLeaving, 0)
}

// sayLeaving has the targets of a fault say that they leave.
func (r *run) sayLeaving(f Fault) {
	all := r.site.allServers()
	for _, i := range f.targets(len(all)) {
		if err := r.site.leaveUnlisted(all[i]); err != nil {
			r.recordStandinError(err)
		}
	}
}

// leaveUnlisted has a server say that it leaves and adds a new one of the same service. The entry
// is removed after removalDelay.
func (s *site) leaveUnlisted(v *server) error {
	s.mu.Lock()
	if !v.leftAt.IsZero() || !v.saidAt.IsZero() {
		s.mu.Unlock()
		return nil
	}
	v.saidAt = time.Now()
	v.standin.SetLeaving(s.mutant != HidesWords)
	time.AfterFunc(removalDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writeOrQueue(func() {
			v.leftAt = time.Now()
			s.store.RemoveEntry(v.id)
		})
	})
	s.mu.Unlock()
	return s.addServer(v.service)
}

// askRest has the targets of a fault ask for rest and returns at its end.
func (r *run) askRest(f Fault) {
	all := r.site.allServers()
	targets := f.targets(len(all))
	rest := f.rest()
	for _, i := range targets {
		all[i].rest = rest
		value := rest.value
		if r.site.mutant == HidesWords {
			value = ""
		}
		all[i].standin.SetRest(value, workerserver.RestShare(restShare))
	}
	time.Sleep(f.For.Std())
	for _, i := range targets {
		all[i].standin.EndRest()
	}
}

// delivery is a request that reached a server, and the request of the caller.
type delivery struct {
	workerserver.Arrival
	record
}

// process is one life of an instance.
type process struct {
	at   *instance
	life int
}

// deliveries returns the requests that reached a server, by the process that the callers sent
// them to. Links to servers are those of all instances, so that none carries requests of another.
func (c *checker) deliveries(v *server) map[process][]delivery {
	byID := c.recordsByID()
	out := map[process][]delivery{}
	for _, a := range v.standin.Arrivals() {
		if r, ok := byID[a.ID]; ok {
			from := process{r.sentTo, r.life}
			out[from] = append(out[from], delivery{a, r})
		}
	}
	return out
}

func (c *checker) recordsByID() map[string]record {
	if c.byID == nil {
		c.byID = make(map[string]record, len(c.records))
		for _, r := range c.records {
			c.byID[r.id] = r
		}
	}
	return c.byID
}

// checkHeard checks what servers got that said in their answers that they leave.
func (c *checker) checkHeard() {
	for _, v := range c.site.allServers() {
		if v.saidAt.IsZero() {
			continue
		}
		for from, all := range c.deliveries(v) {
			c.checkHeardBy(v, from, all)
		}
	}
}

// checkHeardBy checks what a process sent to such a server after it had passed on an answer of it.
func (c *checker) checkHeardBy(v *server, from process, all []delivery) {
	var passedOn time.Time
	for _, d := range all {
		theirs := d.Err == nil && d.Seal == workerserver.Seal(v.id, d.id) && d.AnsweredAt.After(v.saidAt)
		if theirs && (passedOn.IsZero() || d.done.Before(passedOn)) {
			passedOn = d.done
		}
	}
	if passedOn.IsZero() {
		return
	}
	for _, d := range all {
		if d.sent.After(passedOn.Add(heardDeadline)) && c.calm(from.at, passedOn, d.At) {
			c.addViolation(Heard, d.At, "%s got request %s from %s, sent %.3fs after that had passed on that the server leaves",
				v.id, d.id, from.at.name, d.sent.Sub(passedOn).Seconds())
		}
	}
}

// calm reports whether an instance was neither frozen nor restarted nor without processor time.
func (c *checker) calm(in *instance, from, to time.Time) bool {
	return in.disturbances.undisturbed(from, to) && c.hostStalls.undisturbed(from, to)
}

// checkRested checks what servers got from instances that they had asked for rest.
func (c *checker) checkRested() {
	for _, v := range c.site.allServers() {
		if v.rest.lasts <= 0 {
			continue
		}
		for from, all := range c.deliveries(v) {
			c.checkRest(v, from, all)
		}
	}
}

// checkRest checks what a process sent to such a server. A refusal counts once the refused request
// has ended, if nothing can have held the refusal up until then.
func (c *checker) checkRest(v *server, from process, all []delivery) {
	for _, refused := range all {
		held := !v.silences.undisturbed(refused.AnsweredAt, refused.done) || !v.disturbances.undisturbed(refused.AnsweredAt, refused.done)
		if !refused.TurnedAway || refused.Err != nil || held {
			continue
		}
		end := refused.AnsweredAt.Add(v.rest.lasts)
		during := slices.DeleteFunc(slices.Clone(all), func(d delivery) bool {
			return !d.sent.After(refused.done) || !d.At.After(refused.AnsweredAt.Add(restSlack)) || !d.At.Before(end)
		})
		if len(during) > maxInRest && c.calm(from.at, refused.AnsweredAt, end) {
			c.addViolation(Rested, refused.AnsweredAt, "%s got %d requests from %s and had asked it for %s of rest", v.id, len(during), from.at.name, v.rest.lasts)
			return
		}
	}
}
