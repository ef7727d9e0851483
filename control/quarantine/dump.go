package quarantine

import (
	"slices"
	"strings"

	"github.com/auburnmoor/auburnmoor/decide/poison"
)

// Dump is the state of the module.
type Dump struct {
	// ServerEnds is the number of recent server exits.
	ServerEnds int           `json:"server_ends"`
	Requests   []DumpRequest `json:"requests,omitempty"`
	// Parts are the parts of prompts that are refused.
	Parts []DumpPart `json:"parts,omitempty"`
}

// DumpRequest is a request that was running when servers crashed.
type DumpRequest struct {
	Identity string `json:"identity"`
	// Crashes is the number of crashes since its last answer, Successive the number of
	// those that count as evidence against it.
	Crashes    int  `json:"crashes"`
	Successive int  `json:"successive"`
	Refused    bool `json:"refused"`
	// RetryAfterMS is the time until it may be tried again, ChangedMS the time since the
	// last crash or answer.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	ChangedMS    int64 `json:"changed_ms"`
}

// DumpPart is a part of prompts that is refused.
type DumpPart struct {
	// Key identifies the part to "clear"; ID is its ID, if this instance has met it.
	Key string `json:"key"`
	ID  string `json:"id,omitempty"`
	// Crashes is the number of crashes that count as evidence against it, Companions that of the
	// parts and requests that were in all of them: only requests with all of these are refused.
	Crashes    int `json:"crashes"`
	Companions int `json:"companions"`
	// Trials is the number of requests that were sent with it since it is refused.
	Trials int `json:"trials"`
	// AgeMS is the time since its first crash, NextTrialMS that until it may be tried again.
	AgeMS       int64 `json:"age_ms"`
	NextTrialMS int64 `json:"next_trial_ms"`
}

// Dump implements auburnmoor.Dumper.
func (q *Quarantine) Dump() any {
	d := Dump{}
	q.withTable(func(t *poison.Table) {
		now := q.now()
		d.ServerEnds = t.ExitCount()
		for _, r := range t.All() {
			assessment := t.Assess(now, r.Key, 0, nil)
			d.Requests = append(d.Requests, DumpRequest{
				Identity: r.Key.String(), Crashes: len(r.Crashes), Successive: assessment.Crashes, Refused: assessment.Verdict == poison.Poisonous,
				RetryAfterMS: assessment.RetryAfter.Milliseconds(), ChangedMS: (now - r.Changed).Milliseconds(),
			})
		}
		for _, p := range q.parts.Refused(now) {
			d.Parts = append(d.Parts, DumpPart{
				Key: p.Part.String(), ID: q.names[p.Part], Crashes: p.Crashes, Companions: p.Companions, Trials: p.Trials,
				AgeMS: (now - p.First).Milliseconds(), NextTrialMS: max(0, p.Due-now).Milliseconds(),
			})
		}
	})
	slices.SortFunc(d.Parts, func(a, b DumpPart) int { return strings.Compare(a.Key, b.Key) })
	return d
}
