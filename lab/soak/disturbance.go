package soak

import (
	"sync"
	"time"
)

// disturbanceLog records when faults or restarts disturbed a component.
type disturbanceLog struct {
	mu sync.Mutex
	// activeCount counts the disturbances in progress; activeSince is when the first began.
	activeCount int
	activeSince time.Time
	// past holds the disturbances that have ended.
	past []span
}

// span is the time of a disturbance that has ended.
type span struct{ from, to time.Time }

// begin starts a disturbance that lasts until end; several may overlap.
func (d *disturbanceLog) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.activeCount == 0 {
		d.activeSince = time.Now()
	}
	d.activeCount++
}

// addSpan records a disturbance that has ended.
func (d *disturbanceLog) addSpan(s span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.past = append(d.past, s)
}

// addInstant records a disturbance without duration.
func (d *disturbanceLog) addInstant() {
	d.begin()
	d.end()
}

func (d *disturbanceLog) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeCount--
	if d.activeCount == 0 {
		d.past = append(d.past, span{d.activeSince, time.Now()})
	}
}

// undisturbed reports whether no disturbance overlaps the given interval.
func (d *disturbanceLog) undisturbed(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.activeCount > 0 && d.activeSince.Before(to) {
		return false
	}
	for _, s := range d.past {
		if s.from.Before(to) && from.Before(s.to) {
			return false
		}
	}
	return true
}
