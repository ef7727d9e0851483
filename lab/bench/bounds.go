package bench

import (
	"fmt"

	"github.com/auburnmoor/auburnmoor/settings"
)

// Bounds are the regression limits of the experiments.
type Bounds struct {
	// QuickScale scales down the duration of the scenarios in "make test".
	QuickScale float64 `toml:"quick_scale" validate:"gt=0,lte=1"`
	Quick      []Bound `toml:"quick" validate:"required,dive"`
	Full       []Bound `toml:"full" validate:"required,dive"`
}

// Bound limits the metrics of one scenario. A limit of zero is not checked.
// Lateness, missing or duplicate outcomes, repeated dispatch and leaked
// reservations must always be zero.
type Bound struct {
	Scenario     string  `toml:"scenario" validate:"required"`
	Slowdown     float64 `toml:"slowdown"`
	ShortP99MS   float64 `toml:"short_p99_ms"`
	ShortWithin  float64 `toml:"short_within"`
	AllP95MS     float64 `toml:"all_p95_ms"`
	InTime       float64 `toml:"in_time"`
	Goodput      float64 `toml:"goodput"`
	RefusedP99MS float64 `toml:"refused_p99_ms"`
	Messages     float64 `toml:"messages"`
	Bytes        float64 `toml:"bytes"`
}

// ParseBounds parses a bounds file.
func ParseBounds(raw []byte) (Bounds, error) {
	var b Bounds
	if p := settings.UnmarshalStrict(raw, &b); len(p) > 0 {
		return b, settings.Problems(p)
	}
	return b, nil
}

// Check returns a message for every limit that a run violates.
func (b Bound) Check(s Summary) []string {
	var out []string
	atMost := func(name string, got, limit float64) {
		if limit > 0 && got > limit {
			out = append(out, fmt.Sprintf("%s: %s is %.2f, the bound is %.2f", b.Scenario, name, got, limit))
		}
	}
	atLeast := func(name string, got, limit float64) {
		if got < limit {
			out = append(out, fmt.Sprintf("%s: %s is %.4f, the bound is %.4f", b.Scenario, name, got, limit))
		}
	}
	atMost("slowdown", s.Slowdown, b.Slowdown)
	atMost("short_p99_ms", s.ShortP99MS, b.ShortP99MS)
	atLeast("short_within", s.ShortWithin, b.ShortWithin)
	atMost("all_p95_ms", s.AllP95MS, b.AllP95MS)
	atLeast("in_time", s.InTime, b.InTime)
	atLeast("goodput", s.Goodput, b.Goodput)
	atMost("refused_p99_ms", s.RefusedP99MS, b.RefusedP99MS)
	atMost("messages", s.Messages, b.Messages)
	atMost("bytes", s.Bytes, b.Bytes)
	for name, n := range map[string]int64{
		"late": int64(s.Late), "unanswered": int64(s.Unanswered), "twice": int64(s.RepeatedDispatches),
		"duplicates": int64(s.Duplicates), "kv_reserved_left": s.Reserved,
	} {
		if n != 0 {
			out = append(out, fmt.Sprintf("%s: %s is %d, it must be 0", b.Scenario, name, n))
		}
	}
	return out
}
