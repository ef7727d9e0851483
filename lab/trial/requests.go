package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/claim"
	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"

	"github.com/cockroachdb/errors"
)

// keyState tracks the executions of one idempotency key.
type keyState struct {
	key  string
	runs int
}

// attempt is one request with a key, sent to one instance.
type attempt struct {
	key       *keyState
	req       *peerpb.Claim
	at        *instance
	startedAt time.Duration
	done      bool
}

// repeatsPerKey is how often a caller sends a key, each time to a random instance.
const repeatsPerKey = 3

// newClaim starts a caller that sends the same key repeatsPerKey times.
func (t *Trial) newClaim() {
	t.Report.Requests++
	k := &keyState{key: fmt.Sprintf("key-%d", t.Report.Requests)}
	t.keys[k.key] = k
	for i := range repeatsPerKey {
		t.after(time.Duration(i)*t.jitter(time.Second), func() { t.startAttempt(k, i) })
	}
}

func (t *Trial) startAttempt(k *keyState, n int) {
	in := t.instances[t.rand.IntN(len(t.instances))]
	if in.dead || in.paused {
		return
	}
	a := &attempt{key: k, at: in, startedAt: t.now(), req: &peerpb.Claim{
		Customer: "c", Key: k.key, BodyHash: 1, RequestId: fmt.Sprintf("%s~%d~%s~%d", in.name, in.incarnation, k.key, n),
	}}
	t.Report.attempts[a.req.RequestId] = a
	t.Report.Claims++
	in.askOwner(a)
}

// claimTimeout and claimResendInterval mirror those of the daemon.
const (
	claimTimeout        = 4 * time.Second
	claimResendInterval = 300 * time.Millisecond
)

func (in *instance) askOwner(a *attempt) {
	if a.done || in.dead {
		return
	}
	if in.t.now()-a.startedAt > claimTimeout {
		a.done = true
		in.t.Report.Refused++
		in.sendToOwner(a.req, &peerpb.ClaimResult{Customer: a.req.Customer, Key: a.req.Key, RequestId: a.req.RequestId, NotRun: true})
		return
	}
	in.sendToOwner(a.req, nil)
	in.t.after(claimResendInterval, func() { in.do(func() { in.askOwner(a) }) })
}

func (in *instance) sendToOwner(c *peerpb.Claim, res *peerpb.ClaimResult) {
	owners := member.Owners(in.table.Alive(in.now()))
	owner := claim.OwnerOf(c.Customer, c.Key, owners)
	switch {
	case owner == in.name && res != nil:
		in.claim(claim.ResultReported{Result: res})
	case owner == in.name:
		in.claim(claim.ClaimRequested{From: in.name, Claim: c})
	case res != nil:
		in.send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimResult{ClaimResult: res}})
	default:
		in.send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: c}})
	}
}

// sendReclaims sends grants of this instance that are due to the owners of their ledgers.
func (in *instance) sendReclaims() {
	reclaims := in.granted.NextReclaims(in.now(), in.era)
	if in.t.o.Mutant == NoReclaim {
		return
	}
	owners := member.Owners(in.table.Alive(in.now()))
	for _, r := range reclaims {
		owner := claim.OwnerOf(r.Customer, r.Key, owners)
		if owner == in.name {
			in.claim(claim.Reclaimed{Claim: r})
			continue
		}
		in.send(owner, &peerpb.Envelope{Body: &peerpb.Envelope_Reclaims{Reclaims: &peerpb.Reclaims{Claims: []*peerpb.Reclaim{r}}}})
	}
}

func (in *instance) claimReply(r *peerpb.ClaimReply) {
	t := in.t
	a := t.Report.attempts[r.RequestId]
	if a == nil || a.at != in || (a.done && t.o.Mutant != BlindRetry) {
		return
	}
	a.done = true
	switch r.State {
	case peerpb.ClaimState_CLAIM_GRANTED:
		t.run(a)
	case peerpb.ClaimState_CLAIM_DONE, peerpb.ClaimState_CLAIM_RUNNING:
		t.Report.Repeats++
	default:
		t.Report.Refused++
	}
}

// run executes a granted request at a backend server.
func (t *Trial) run(a *attempt) {
	a.key.runs++
	t.Report.Granted++
	t.Report.addLatency(t.now() - a.startedAt)
	if a.key.runs > 1 {
		t.Report.recordViolation("runs at most once", "%s ran %d times", a.key.key, a.key.runs)
	}
	in := a.at
	in.granted.Add(in.now(), a.req)
	t.after(t.jitter(time.Second), func() {
		in.do(func() {
			in.sendToOwner(a.req, &peerpb.ClaimResult{Customer: a.req.Customer, Key: a.req.Key, RequestId: a.req.RequestId, Status: 200, Answer: []byte("ok")})
		})
	})
}

// change is one accepted configuration and when each instance had it.
type change struct {
	version uint64
	at      time.Duration
	done    bool
}

// changeConfig has one or two operators change the configuration concurrently, each
// on the condition that the version they read is still current.
func (t *Trial) changeConfig() {
	cur, err := confver.ReadPointer(context.Background(), t.store)
	if err != nil {
		return
	}
	for i := range 1 + t.rand.IntN(2) {
		t.Report.Changes++
		id := fmt.Sprintf("w-%d-%d", t.Report.Changes, i)
		v, err := confver.Accept(context.Background(), t.store, []byte(id), cur.Pointer.Version, id)
		var coded *result.Error
		switch {
		case err == nil:
			t.recordAccepted(v)
		case errors.As(err, &coded) && coded.Code == result.ConfigConflict:
			t.Report.Conflicts++
		}
	}
}

func (t *Trial) recordAccepted(v uint64) {
	if v <= t.accepted {
		t.Report.recordViolation("accepted configuration never reverts", "version %d was accepted after %d", v, t.accepted)
	}
	t.accepted = max(t.accepted, v)
	t.changes = append(t.changes, &change{version: v, at: t.now()})
}

// pollInterval is how often a watcher reads the store in the trial; a real watch
// returns sooner.
const pollInterval = 500 * time.Millisecond

func (in *instance) readConfig(owners []string) {
	if in.now()%pollInterval >= tickInterval {
		return
	}
	if !place.InTop(in.name, confver.WatchDuty, owners, 2) && in.holder.Version() > 0 {
		return
	}
	in.call(func() func() {
		cur, err := confver.ReadPointer(context.Background(), in.t.store)
		if err != nil || cur.Pointer.Version == 0 {
			return func() {}
		}
		content, err := confver.ReadContent(context.Background(), in.t.store, cur.Pointer)
		return func() {
			if err == nil {
				in.adopt(cur.Pointer.Version, content)
			}
		}
	})
}

func (in *instance) adopt(version uint64, content []byte) {
	before := in.holder.Version()
	if in.t.o.Mutant == AdoptAny && version != 0 {
		in.holder = confver.Holder{}
	}
	in.holder.Adopt(version, content)
	if in.holder.Version() < before {
		in.t.Report.recordViolation("accepted configuration never reverts", "%s went from %d to %d", in.name, before, in.holder.Version())
	}
	in.t.recordPropagation()
}

// recordPropagation records the changes that every running instance has applied.
func (t *Trial) recordPropagation() {
	minVersion := t.accepted
	for _, in := range t.instances {
		if !in.dead && !in.paused && in.now() > takeoverDelay {
			minVersion = min(minVersion, in.holder.Version())
		}
	}
	for _, c := range t.changes {
		if !c.done && c.version <= minVersion {
			c.done = true
			t.Report.Propagation = append(t.Report.Propagation, t.now()-c.at)
		}
	}
}
