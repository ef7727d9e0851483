package blame

import (
	"slices"
	"time"
)

// UsedTrial is a trial of a refused part that was granted: a request with it may have reached a
// server.
type UsedTrial struct {
	// ID is a random number.
	ID uint64
	// Parts are the part and its companions at that time.
	Parts []Key
	At    time.Duration
}

type usedTrial struct {
	UsedTrial
	pending bool
}

// NewTrial returns a trial of a part, which MergeUsed counts.
func (t *Table) NewTrial(now time.Duration, id uint64, part Key) UsedTrial {
	u := UsedTrial{ID: id, Parts: []Key{part}, At: now}
	s := t.findSuspects()[part]
	if s == nil {
		return u
	}
	for _, k := range s.companions {
		if k.IsPart() && len(u.Parts) < maxTriedParts {
			u.Parts = append(u.Parts, k)
		}
	}
	return u
}

// MergeUsed adds a trial that was granted here or at another instance.
func (t *Table) MergeUsed(now time.Duration, u UsedTrial) {
	if t.used[u.ID] != nil || now-u.At >= refusedRetention || !slices.ContainsFunc(u.Parts, t.isSuspect) {
		return
	}
	t.used[u.ID] = &usedTrial{UsedTrial: u, pending: true}
}

// MayUse reports whether a trial may be run: its part is still a suspect, was not tried too often, and no
// other trial of it is in progress.
func (t *Table) MayUse(now time.Duration, u UsedTrial) bool {
	s := t.findSuspects()[u.Parts[0]]
	return s != nil && t.countTrials(s) < maxTrials && t.runningTrial(now, s.part) == nil
}

func (t *Table) isSuspect(k Key) bool { return t.findSuspects()[k] != nil }

func (t *Table) takeUsed() (out []UsedTrial) {
	for _, u := range t.used {
		if u.pending {
			u.pending = false
			out = append(out, u.UsedTrial)
		}
	}
	return out
}

// trialsOf returns the trials of a suspect.
func (t *Table) trialsOf(s *suspect) (out []UsedTrial) {
	for _, u := range t.used {
		if s.concernedBy(u.UsedTrial) {
			out = append(out, u.UsedTrial)
		}
	}
	return out
}

func (t *Table) countTrials(s *suspect) int { return len(t.trialsOf(s)) }

// runningTrial returns a trial of a part that may not have ended yet, nil if there is none.
func (t *Table) runningTrial(now time.Duration, part Key) *UsedTrial {
	s := t.findSuspects()[part]
	if s == nil {
		return nil
	}
	for _, u := range t.trialsOf(s) {
		if !t.over(now, Trial{Part: part, At: u.At}) {
			return &u
		}
	}
	return nil
}

// due is when a suspect may be tried at servers of a version. Where none has crashed with it that is at
// once: what crashes one version is not known at another. Elsewhere it is after a time that grows with the
// span of its crashes, and the last trial is kept for another version for a long time. After all trials the
// part is refused until its crashes are forgotten.
func (t *Table) due(now time.Duration, s *suspect, v Version) time.Duration {
	trials := t.trialsOf(s)
	due := s.last()
	switch {
	case len(trials) >= maxTrials:
		return s.last() + refusedRetention
	case !s.crashedAt(v):
	case len(trials) == maxTrials-1:
		due += maxTrialDelay
	default:
		due += min(maxTrialDelay, max(firstTrial, trialGrowth*(s.last()-s.first())))
	}
	for _, u := range trials {
		if u.At > s.last() && now >= u.At+awaitTrial {
			// It has no result so far.
			due = max(due, u.At+firstTrial)
		}
	}
	return due
}
