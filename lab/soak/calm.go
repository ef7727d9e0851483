package soak

import (
	"sync"
	"time"
)

// calm tells when something was without disturbance.
type calm struct {
	mu sync.Mutex
	// begun counts the disturbances in progress, last is when the first of them began.
	begun int
	last  time.Time
	// history are those that are over.
	history []span
}

// span is a disturbance that is over.
type span struct{ from, to time.Time }

// begin and end mark a disturbance that lasts; several may overlap.
func (c *calm) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun == 0 {
		c.last = time.Now()
	}
	c.begun++
}

// note adds a disturbance that is over.
func (c *calm) note(s span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, s)
}

// strike notes a disturbance of a moment.
func (c *calm) strike() {
	c.begin()
	c.end()
}

func (c *calm) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun--
	if c.begun == 0 {
		c.history = append(c.history, span{c.last, time.Now()})
	}
}

// during reports whether nothing disturbed from one time to another.
func (c *calm) during(from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun > 0 && c.last.Before(to) {
		return false
	}
	for _, s := range c.history {
		if s.from.Before(to) && from.Before(s.to) {
			return false
		}
	}
	return true
}
