package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/crowd"
)

// Crowd has clients that do not behave press instances: they stop short of the end of a body or a head, send bodies far
// over the limit, or nothing at all.
const Crowd Kind = "crowd"

// TakesAll lets instances keep all bodies that clients send.
const TakesAll Mutant = "takes-all"

const (
	// crowdStream separates the draws of crowds from those of other faults.
	crowdStream = 9
	// crowdClients press an instance at once with bodies of crowdBody bytes.
	crowdClients = 250
	crowdBody    = 1 << 20
	// minCrowd and extraCrowd bound how long a crowd stays, crowdPause is the pause before a client that was refused
	// comes back.
	minCrowd, extraCrowd = time.Second, 3 * time.Second
	crowdPause           = time.Second
)

// crowdKinds are the crowds that plans draw. None of them ends a request that a server could run.
var crowdKinds = []crowd.Kind{crowd.Bodies, crowd.SlowBodies, crowd.Chunks, crowd.TinyChunks, crowd.Huge, crowd.Endless, crowd.Heads, crowd.Idle}

// addCrowd adds a crowd to a drawn plan.
func (p *Plan) addCrowd(seed uint64, span time.Duration) {
	r := rand.New(rand.NewPCG(seed, crowdStream))
	at := quietAtStart + time.Duration(r.Int64N(int64(span)))
	p.add(r, at, Crowd, min(minCrowd+time.Duration(r.Int64N(int64(extraCrowd))), quietAtStart+span-at))
}

// press has crowds of the kind that a fault draws press its instances.
func (r *run) press(f Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), f.For.Std())
	defer cancel()
	kind := crowdKinds[f.Pick%uint64(len(crowdKinds))]
	request := crowd.Request{Path: lookPath, Host: host, Key: key, IDPrefix: "crowd"}
	var all sync.WaitGroup
	for _, i := range f.targets(len(r.fleet.instances)) {
		c := &crowd.Crowd{Addr: r.fleet.instances[i].callerAddr, Pause: crowdPause}
		all.Go(func() { c.Press(ctx, crowdClients, kind.Member(request, crowdBody)) })
	}
	all.Wait()
}

// intakeSettings returns the settings of the bounds for clients.
func (m Mutant) intakeSettings() string {
	if m == TakesAll {
		return "body_memory_mb = 1048576\nmax_connections = 4000"
	}
	return ""
}
