package blame

import (
	"time"
)

const (
	// claimDelay is the time in which all instances learn that one of them wants to try a part.
	claimDelay = 200 * time.Millisecond
	// awaitTrial is how long other requests wait for the end of a trial, as most end sooner, and
	// awaitStep the time after which they ask again.
	awaitTrial = time.Second
	awaitStep  = 50 * time.Millisecond
	// TrialTimeout is the time after which a trial without a result is over.
	TrialTimeout = 3 * time.Second
	// maxTrials is the number of requests that are run with a part while it is refused.
	maxTrials = 3
	// maxTriedParts bounds the parts of one trial.
	maxTriedParts = 64
)

// Trial is the intention of an instance to try a part.
type Trial struct {
	Part Key
	// Claimant identifies the instance.
	Claimant uint64
	At       time.Duration
}

type trial struct {
	Trial
	// used is set once this instance has sent the request.
	used    bool
	pending bool
}

// Permission is the answer to a request that wants to be a trial.
type Permission struct {
	Granted bool
	// Trial is what was granted.
	Trial Trial
	// Wait is how long to wait before asking again, zero if the request is refused.
	Wait time.Duration
	// RetryAfter is the time after which the trial of another request is over.
	RetryAfter time.Duration
}

// TryPart asks whether a request may be the trial of a part that is due. Each instance announces
// its intention and waits until all others know; of several the least claimant tries.
func (t *Table) TryPart(now time.Duration, part Key) Permission {
	if running := t.runningTrial(now, part); running != nil && t.trials[part] == nil {
		// It is the trial of a companion, or was granted before this instance started.
		return awaitEnd(now, running.At)
	}
	tr := t.trials[part]
	if tr == nil || t.over(now, tr.Trial) {
		tr = &trial{Trial: Trial{Part: part, Claimant: t.o.Self, At: now}, pending: true}
		t.trials[part] = tr
	}
	switch {
	case tr.Claimant != t.o.Self || tr.used:
		return awaitEnd(now, tr.At)
	case now < tr.At+claimDelay:
		return Permission{Wait: tr.At + claimDelay - now}
	default:
		tr.used = true
		return Permission{Granted: true, Trial: tr.Trial}
	}
}

// awaitEnd has a request wait for the end of another trial, or come back after it.
func awaitEnd(now, began time.Duration) Permission {
	if now-began < awaitTrial {
		return Permission{Wait: awaitStep}
	}
	return Permission{RetryAfter: began + TrialTimeout - now}
}

// over reports whether a trial has ended: by a crash with its part, or without a result.
func (t *Table) over(now time.Duration, tr Trial) bool {
	s := t.findSuspects()[tr.Part]
	return now-tr.At >= TrialTimeout || s != nil && s.last() > tr.At+clockError
}

// Return gives back a granted trial, so that another request gets it if there was no result.
func (t *Table) Return(granted Trial) {
	if tr := t.trials[granted.Part]; tr != nil && tr.Trial == granted {
		tr.used = false
	}
}

// MergeTrial adds the intention of another instance.
func (t *Table) MergeTrial(now time.Duration, in Trial) {
	tr := t.trials[in.Part]
	if t.over(now, in) || tr != nil && !t.over(now, tr.Trial) && (tr.used || tr.Claimant <= in.Claimant) {
		return
	}
	t.trials[in.Part] = &trial{Trial: in, pending: true}
}

// Changes are what instances tell each other.
type Changes struct {
	Crashes []Update
	Trials  []Trial
	Used    []UsedTrial
}

// Empty reports whether there is nothing to send.
func (c Changes) Empty() bool { return len(c.Crashes) == 0 && len(c.Trials) == 0 && len(c.Used) == 0 }

func (t *Table) takeTrials() (out []Trial) {
	for _, tr := range t.trials {
		if tr.pending {
			tr.pending = false
			out = append(out, tr.Trial)
		}
	}
	return out
}

func (t *Table) hasNewTrials() bool {
	for _, tr := range t.trials {
		if tr.pending {
			return true
		}
	}
	for _, u := range t.used {
		if u.pending {
			return true
		}
	}
	return false
}
