package passes

import (
	"embed"
	"os"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Load describes a deployment and its workload.
type Load struct {
	Name string `toml:"name" validate:"required"`
	// Instances is the number of entry instances. Each sees the state of the others with
	// a delay of Peers and the time for which reports are batched.
	Instances int `toml:"instances" validate:"min=1,max=1000"`
	// Hop is the one-way latency between an instance and an engine or a client, Peers
	// that between two instances.
	Hop   settings.Duration `toml:"hop"`
	Peers settings.Duration `toml:"peers"`
	// Bursts is the number of equal spans of a run; each kind has a rate factor for
	// each of them.
	Bursts  int    `toml:"bursts" validate:"min=1,max=100"`
	Engines Engine `toml:"engines"`
	Kinds   []Kind `toml:"kind" validate:"min=1,dive"`
	// Customers are none unless a load or an option names them.
	Customers Customers `toml:"customers"`
}

// Engine describes the engines, which are identical.
type Engine struct {
	Count  int   `toml:"count" validate:"min=1,max=2000"`
	Slots  int   `toml:"slots" validate:"min=1"`
	Memory int64 `toml:"memory_tokens" validate:"min=1"`
	// Step is the base time of a decode step; each request in decode adds StepPerWriter,
	// and StepPerThousand for every 1,000 tokens of its context.
	Step            settings.Duration `toml:"step" validate:"min=1"`
	StepPerWriter   settings.Duration `toml:"step_per_writer"`
	StepPerThousand settings.Duration `toml:"step_per_thousand"`
	// ReadPerSecond is the prefill speed in tokens per second. Attention adds
	// PairsPerMillion for a million pairs of a token and an earlier one.
	ReadPerSecond   float64           `toml:"read_per_second" validate:"gt=0"`
	PairsPerMillion settings.Duration `toml:"pairs_per_million"`
	// Chunk is the maximum number of prompt tokens per step, Stride the number of steps
	// of a pass with requests in decode, and of tokens in an event.
	Chunk  int64 `toml:"chunk" validate:"min=1"`
	Stride int   `toml:"stride" validate:"min=1"`
	// MeanAnswer is the mean number of tokens of an answer.
	MeanAnswer int64 `toml:"usual_answer" validate:"min=1"`
}

// Length is a log-normal distribution that is capped at Max. Sigma is the standard
// deviation of the logarithm.
type Length struct {
	Mean  float64 `toml:"mean" validate:"gt=0"`
	Sigma float64 `toml:"spread" validate:"min=0"`
	Max   float64 `toml:"most" validate:"gt=0"`
}

// Kind describes a class of requests.
type Kind struct {
	Name string `toml:"name" validate:"required"`
	// Rank is the priority of the kind; 0 is the most urgent.
	Rank int `toml:"rank" validate:"min=0"`
	// PerSecond is the arrival rate before the factors in Bursts.
	PerSecond float64 `toml:"per_second" validate:"min=0"`
	// Prompt is the length of prompts in tokens, Events the length of answers in events.
	Prompt Length `toml:"prompt_tokens"`
	Events Length `toml:"events"`
	// First and Pause are the latency targets for the first event and between two
	// events; Deadline is when the client gives up.
	First    settings.Duration `toml:"first" validate:"min=1"`
	Pause    settings.Duration `toml:"pause" validate:"min=1"`
	Deadline settings.Duration `toml:"deadline" validate:"min=1"`
	// AnswerValue and LateValue are the mean values of an answer that meets its latency
	// targets and of one that does not.
	AnswerValue float64 `toml:"worth" validate:"gt=0"`
	LateValue   float64 `toml:"late_worth" validate:"min=0"`
	// Bursts are the rate factors in the spans of a run.
	Bursts []float64 `toml:"bursts" validate:"required,dive,min=0"`
}

//go:embed loads/*.toml
var shipped embed.FS

// Shipped returns the names of the embedded loads.
func Shipped() []string {
	entries, err := shipped.ReadDir("loads")
	if err != nil {
		panic(errors.Wrap(err, "read the embedded loads"))
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return out
}

// ReadLoad reads an embedded load by its name, or else a file.
func ReadLoad(name string) (Load, error) {
	raw, err := shipped.ReadFile(path.Join("loads", name+".toml"))
	if err != nil {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return Load{}, errors.Wrap(err, "read load")
	}
	return ParseLoad(name, raw)
}

// ParseLoad decodes and validates a load.
func ParseLoad(name string, raw []byte) (Load, error) {
	var l Load
	problems := settings.UnmarshalStrict(raw, &l)
	for _, k := range l.Kinds {
		if len(k.Bursts) != l.Bursts {
			problems = append(problems, "key \"kind.bursts\": "+k.Name+" needs one factor for each of the spans in \"bursts\"")
		}
	}
	if len(problems) > 0 {
		for i := range problems {
			problems[i] = name + ": " + problems[i]
		}
		return Load{}, settings.Problems(problems)
	}
	return l, nil
}

// spec returns the engines in the terms of the placement.
func (e Engine) spec() *route.Engine {
	return &route.Engine{
		Slots: e.Slots, KVCacheTokens: e.Memory, Step: e.Step.Std(), StepPerSequence: e.StepPerWriter.Std(), StepPerThousandTokens: e.StepPerThousand.Std(),
		PrefillTokensPerSecond: e.ReadPerSecond, TimePerMillionPairs: e.PairsPerMillion.Std(), PrefillChunk: e.Chunk, StepsPerPass: e.Stride, MeanAnswerTokens: e.MeanAnswer,
	}
}

// maxValueFactor bounds the value of an answer, as a multiple of the mean value.
const maxValueFactor = 4

// valueOf returns the value of an answer, which grows linearly with its prompt.
func (k *Kind) valueOf(prompt int64, base float64) float64 {
	return min(maxValueFactor*base, base*(0.3+0.7*float64(prompt)/k.Prompt.Mean))
}

// idleTimeout is the time without an event after which a client gives up.
func (k *Kind) idleTimeout() time.Duration {
	return max(2*time.Second, 4*k.First.Std(), 8*k.Pause.Std())
}
