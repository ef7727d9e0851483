package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectMoments is the number of crashes from which requests with a part wait for reports of
	// other instances, minMoments the least number from which they are refused.
	suspectMoments = 2
	minMoments     = 3
	// maxMoments is the number from which they are refused whatever chance says: the aim is eight
	// servers at most, and two may be writing when the decision is made.
	maxMoments = 6
	// exitWindow is the time over which crashes without a part are counted, exposure how long a
	// run is fresh on the mean, most of it prefill. A number of crashes of which the probability is
	// below maxChance is not chance: of ten million requests with three parts each none should be
	// refused for others' crashes.
	exitWindow = 10 * time.Second
	exposure   = time.Second
	maxChance  = 3e-8
	// minOthers is the number of other servers whose crash at the same moment makes it not count.
	minOthers = 2
	// settleTime is the time in which a crash is reported to all instances with all its runs.
	settleTime = 40 * time.Millisecond
	// firstTrial is the time from the last crash of a part to its first trial. Each later one comes
	// after trialGrowth times the span of its crashes, up to maxTrialDelay.
	firstTrial    = 10 * time.Second
	trialGrowth   = 12
	maxTrialDelay = 4 * time.Hour
)

// suspect is a part with crashes of which it is not cleared.
type suspect struct {
	part    Key
	crashes []*crash
	// companions are the other keys that are in all of these crashes and not cleared.
	companions []Key
	// moments is the number of moments of its crashes, required that from which it is refused.
	moments, required int
	// refused is set if its crashes are not chance, and not those of other refused parts.
	refused bool
	// sound are the versions whose servers answer the part.
	sound map[Version]bool
}

// first and last are the times of the first and last crash.
func (s *suspect) first() time.Duration { return s.crashes[0].At }
func (s *suspect) last() time.Duration  { return s.crashes[len(s.crashes)-1].At }

// settled reports whether the part is refused by crashes that all instances know.
func (s *suspect) settled(now time.Duration) bool {
	if !s.refused {
		return false
	}
	n := len(s.crashes)
	for n > 0 && now-s.crashes[n-1].At < settleTime {
		n--
	}
	return countMoments(s.crashes[:n]) >= s.required
}

// crashedAt reports whether the part was in a crash of a server of a version, as far as is known.
func (s *suspect) crashedAt(v Version) bool {
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return c.version == v || c.version == 0 })
}

// soundVersions are the versions whose servers have answered the part since one of its crashes and have
// not crashed with it.
func (s *suspect) soundVersions() map[Version]bool {
	out := map[Version]bool{}
	for _, c := range s.crashes {
		for sound := range c.sound {
			if sound.Part == s.part && !s.crashedAt(sound.Version) {
				out[sound.Version] = true
			}
		}
	}
	return out
}

// concernedBy reports whether a trial concerns the suspect: it was run with the part or one of its
// companions.
func (s *suspect) concernedBy(u UsedTrial) bool {
	return slices.ContainsFunc(u.Parts, func(k Key) bool { return k == s.part || slices.Contains(s.companions, k) })
}

// matches reports whether a run has the part and all its companions.
func (s *suspect) matches(r Run) bool {
	return r.has(s.part) && !slices.ContainsFunc(s.companions, func(k Key) bool { return !r.has(k) })
}

// concerns reports whether the permission for a part also holds for this one: it is the same, or
// in the same crashes.
func (s *suspect) concerns(permitted Key) bool {
	return permitted != 0 && (s.part == permitted || slices.Contains(s.companions, permitted))
}

// findSuspects returns the parts in two crashes or more, by key.
func findSuspects(crashes []*crash, alone bool) map[Key]*suspect {
	out := map[Key]*suspect{}
	for _, c := range crashes {
		for k, cleared := range c.keys {
			if cleared || !k.IsPart() {
				continue
			}
			s := out[k]
			if s == nil {
				s = &suspect{part: k}
				out[k] = s
			}
			s.crashes = append(s.crashes, c)
		}
	}
	near := simultaneous(crashes)
	for k, s := range out {
		s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return coincident(near[c], k) })
		if s.moments = countMoments(s.crashes); s.moments < suspectMoments {
			delete(out, k)
			continue
		}
		if !alone {
			s.companions = findCompanions(s)
		}
	}
	for _, s := range out {
		s.sound = s.soundVersions()
	}
	setRequired(out, crashes)
	refuse(out, alone)
	return out
}

// refuse decides which suspects are refused: those with the most crashes first, as they explain
// the crashes of others that were beside them. Two deadly parts put sound ones that many requests
// have into crashes of both, fewer than each has itself.
func refuse(suspects map[Key]*suspect, alone bool) {
	order := slices.SortedFunc(maps.Values(suspects), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(a.part, b.part))
	})
	explained := map[*crash]bool{}
	for i, s := range order {
		if s.moments < minMoments {
			return
		}
		unexplained := slices.DeleteFunc(slices.Clone(s.crashes), func(c *crash) bool { return explained[c] && !alone })
		s.refused = countMoments(unexplained) >= s.required && (alone || !rivalled(i, order))
		if !s.refused {
			continue
		}
		for _, c := range s.crashes {
			explained[c] = true
		}
	}
}

// rivalled reports whether another suspect with as many crashes shares some of them, but not all.
// Either may be the cause; one more crash tells.
func rivalled(i int, order []*suspect) bool {
	s := order[i]
	if s.moments > minMoments {
		return false
	}
	return slices.ContainsFunc(order, func(o *suspect) bool {
		return o != s && o.moments == s.moments && !slices.Contains(s.companions, o.part) &&
			slices.ContainsFunc(o.crashes, func(c *crash) bool { return slices.Contains(s.crashes, c) })
	})
}

// simultaneous returns the crashes at the moment of each crash, itself included; the list is
// sorted by time.
func simultaneous(crashes []*crash) map[*crash][]*crash {
	out := make(map[*crash][]*crash, len(crashes))
	from, to := 0, 0
	for _, c := range crashes {
		for c.At-crashes[from].At > sameMoment {
			from++
		}
		for to < len(crashes) && crashes[to].At-c.At <= sameMoment {
			to++
		}
		out[c] = crashes[from:to]
	}
	return out
}

// coincident reports whether a crash is at the moment of crashes without the key.
func coincident(near []*crash, k Key) bool {
	others := 0
	for _, o := range near {
		if !o.live(k) {
			others++
		}
	}
	return others >= minOthers
}

// findCompanions returns the other keys that are live in all crashes of a suspect.
func findCompanions(s *suspect) (out []Key) {
	smallest := slices.MinFunc(s.crashes, func(a, b *crash) int { return len(a.keys) - len(b.keys) })
	for k := range smallest.keys {
		if k != s.part && !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.live(k) }) {
			out = append(out, k)
		}
	}
	return out
}

// setRequired sets how many crashes of each suspect are not chance. A crash with another part
// that is in minMoments crashes is no sign of other causes, or each of two deadly parts would
// raise the number for the other one.
func setRequired(suspects map[Key]*suspect, crashes []*crash) {
	explained := map[*crash]bool{}
	for _, s := range suspects {
		if s.moments < minMoments {
			continue
		}
		for _, c := range s.crashes {
			explained[c] = true
		}
	}
	for _, s := range suspects {
		s.required = requiredMoments(s, crashes, explained)
	}
}

// requiredMoments follows from the probability that a run meets so many crashes, given the
// crashes without the part before its last one.
func requiredMoments(s *suspect, crashes []*crash, explained map[*crash]bool) int {
	chance := 0.0
	for _, c := range crashes {
		if c.At > s.last()-exitWindow && c.At <= s.last()+sameMoment && !c.live(s.part) && !explained[c] {
			chance += float64(exposure) / float64(exitWindow) / float64(max(1, c.servers))
		}
	}
	chance = min(1, chance)
	n := minMoments
	for p := chance * chance * chance; p > maxChance && n < maxMoments; p *= chance {
		n++
	}
	return n
}
