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

// Load is a deployment and what its callers ask of it.
type Load struct {
	Name string `toml:"name" validate:"required"`
	// Instances are the entry instances, each of which sees the work of the others
	// late by Peers and the time that reports are gathered for.
	Instances int `toml:"instances" validate:"min=1,max=1000"`
	// Hop is the time between an instance and an engine or a client, Peers that
	// between two instances; both one way.
	Hop   settings.Duration `toml:"hop"`
	Peers settings.Duration `toml:"peers"`
	// Bursts is the number of equal spans of a run that the factors of the kinds
	// stand for.
	Bursts  int    `toml:"bursts" validate:"min=1,max=100"`
	Engines Engine `toml:"engines"`
	Kinds   []Kind `toml:"kind" validate:"min=1,dive"`
}

// Engine describes the engines. All of them are alike.
type Engine struct {
	Count  int   `toml:"count" validate:"min=1,max=2000"`
	Slots  int   `toml:"slots" validate:"min=1"`
	Memory int64 `toml:"memory_tokens" validate:"min=1"`
	// Step is the base time of a token step; each writer adds StepPerWriter, and
	// StepPerThousand for every 1,000 tokens of its context.
	Step            settings.Duration `toml:"step" validate:"min=1"`
	StepPerWriter   settings.Duration `toml:"step_per_writer"`
	StepPerThousand settings.Duration `toml:"step_per_thousand"`
	// ReadPerSecond is the speed of reading prompts in tokens; a million pairs of a
	// token and an earlier one add PairsPerMillion.
	ReadPerSecond   float64           `toml:"read_per_second" validate:"gt=0"`
	PairsPerMillion settings.Duration `toml:"pairs_per_million"`
	// Chunk is the most tokens read in a step, Stride the steps of a pass with
	// writers; an event holds as many tokens.
	Chunk  int64 `toml:"chunk" validate:"min=1"`
	Stride int   `toml:"stride" validate:"min=1"`
	// UsualAnswer is the mean number of tokens of an answer.
	UsualAnswer int64 `toml:"usual_answer" validate:"min=1"`
}

// Length is a log-normal distribution that is cut at Most.
type Length struct {
	Mean   float64 `toml:"mean" validate:"gt=0"`
	Spread float64 `toml:"spread" validate:"min=0"`
	Most   float64 `toml:"most" validate:"gt=0"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name" validate:"required"`
	// PerSecond is the mean rate without bursts.
	PerSecond float64 `toml:"per_second" validate:"min=0"`
	// Prompt is the length of prompts in tokens, Events that of answers in events.
	Prompt Length `toml:"prompt_tokens"`
	Events Length `toml:"events"`
	// First and Pause are the useful times to the first event and between two;
	// Deadline is when the client gives up.
	First    settings.Duration `toml:"first" validate:"min=1"`
	Pause    settings.Duration `toml:"pause" validate:"min=1"`
	Deadline settings.Duration `toml:"deadline" validate:"min=1"`
	// Worth and LateWorth are the mean values of an answer in and out of time.
	Worth     float64 `toml:"worth" validate:"gt=0"`
	LateWorth float64 `toml:"late_worth" validate:"min=0"`
	// Bursts are factors of the rate in the spans of a run.
	Bursts []float64 `toml:"bursts" validate:"required,dive,min=0"`
}

//go:embed loads/*.toml
var shipped embed.FS

// Shipped returns the names of the loads that come with the program.
func Shipped() []string {
	entries, err := shipped.ReadDir("loads")
	if err != nil {
		panic(errors.Wrap(err, "the folder is embedded"))
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return out
}

// ReadLoad reads a load that comes with the program, by its name, or a file.
func ReadLoad(name string) (Load, error) {
	raw, err := shipped.ReadFile(path.Join("loads", name+".toml"))
	if err != nil {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return Load{}, errors.Wrap(err, "load")
	}
	return ParseLoad(name, raw)
}

// ParseLoad decodes and checks a load.
func ParseLoad(name string, raw []byte) (Load, error) {
	var l Load
	problems := settings.Strict(raw, &l)
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

// spec is what the placing is told of the engines.
func (e Engine) spec() *route.Engine {
	return &route.Engine{
		Slots: e.Slots, KVCacheTokens: e.Memory, Step: e.Step.Std(), StepPerSequence: e.StepPerWriter.Std(), StepPerThousandTokens: e.StepPerThousand.Std(),
		PrefillTokensPerSecond: e.ReadPerSecond, TimePerMillionPairs: e.PairsPerMillion.Std(), PrefillChunk: e.Chunk, StepsPerPass: e.Stride, MeanAnswerTokens: e.UsualAnswer,
	}
}

// mostWorth is how many times the mean value an answer is worth at most.
const mostWorth = 4

// worth is the value of an answer in proportion to its prompt.
func (k *Kind) worth(prompt int64, base float64) float64 {
	return min(mostWorth*base, base*(0.3+0.7*float64(prompt)/k.Prompt.Mean))
}

// patience is the silence after which a client gives a stream up.
func (k *Kind) patience() time.Duration {
	return max(2*time.Second, 4*k.First.Std(), 8*k.Pause.Std())
}
