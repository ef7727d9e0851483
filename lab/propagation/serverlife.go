package propagation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// serverLife is a server that comes and goes.
type serverLife struct {
	run    *serverRun
	server backends.Server
	rand   *rand.Rand

	mu      sync.Mutex
	coldEnd time.Time
	// left is set once it has begun to leave for good.
	left bool
}

func (l *serverLife) start() {
	l.mu.Lock()
	l.coldEnd = time.Now().Add(serverColdTime)
	l.mu.Unlock()
	l.beat()
	time.AfterFunc(between(l.rand, 0, longestServerLife), l.leave)
}

// beat writes the entry now and with each later heartbeat that changes it.
func (l *serverLife) beat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	cold := time.Until(l.coldEnd)
	if l.left || cold <= 0 {
		return
	}
	l.write()
	time.AfterFunc(serverHeartbeat, l.beat)
}

// write writes the entry of the ready server. The caller holds l.mu.
func (l *serverLife) write() {
	v := l.server
	v.Cold = backends.ColdTime{Known: true, Remaining: max(0, time.Until(l.coldEnd))}
	l.run.write(v)
}

// leave ends the server in one of the ways in which servers leave.
func (l *serverLife) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.rand.IntN(4) {
	case 0:
		l.left = true
		v := l.server
		v.Leaving = true
		l.run.write(v)
		time.AfterFunc(between(l.rand, 0, 4*time.Second), func() { l.run.remove(l.server.ID) })
	case 1:
		// Its entry expires and is back for a while.
		l.run.remove(l.server.ID)
		time.AfterFunc(between(l.rand, 0, returnWithin), l.comeBack)
	default:
		l.removeAfterBeat()
	}
}

// comeBack writes the entry of a server that serves on for a while.
func (l *serverLife) comeBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write()
	time.AfterFunc(between(l.rand, 0, returnWithin), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.removeAfterBeat()
	})
}

// removeAfterBeat removes the entry shortly after a heartbeat. The caller holds l.mu.
func (l *serverLife) removeAfterBeat() {
	l.left = true
	l.write()
	time.AfterFunc(between(l.rand, 50*time.Millisecond, 300*time.Millisecond), func() { l.run.remove(l.server.ID) })
}
