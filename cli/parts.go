package cli

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/suspects"
)

type partsCmd struct {
	Instances   []int           `default:"6,75,300" help:"Numbers of instances; there are seven tenths as many servers, 20 at least."`
	Seeds       int             `default:"20" help:"Runs for each number."`
	Duration    time.Duration   `default:"40s" help:"Virtual time of a run."`
	Rate        float64         `default:"2" help:"Requests a second and server."`
	Parts       int             `default:"3" help:"Shared parts of a prompt."`
	Documents   int             `default:"200" help:"Parts to draw from; the first are the most frequent."`
	Share       float64         `default:"0.1" help:"Share of the requests with a deadly part."`
	Deadly      int             `default:"1" help:"Deadly parts."`
	Both        float64         `help:"Share of these requests with two of them."`
	Companion   float64         `help:"Share of sound requests that have the part which goes with every deadly one."`
	Until       time.Duration   `help:"Time from which the deadly parts are sound again; 0 for never."`
	CrashEvery  time.Duration   `help:"Mean time between other ends of servers; 0 for none."`
	CrashShare  float64         `default:"0.15" help:"Share of the servers that end then."`
	Loss        float64         `help:"Share of messages between instances that are lost."`
	Restarts    time.Duration   `help:"Mean time between restarts of instances; 0 for none."`
	Cuts        time.Duration   `help:"Mean time between partitions of the instances; 0 for none."`
	Alone       bool            `help:"Refuse a part for itself, without the parts that go with it."`
	NoneDeadly  bool            `help:"No part is deadly."`
	FirstDeadly time.Duration   `default:"5s" help:"Time from which deadly parts end servers."`
	Lose        []time.Duration `help:"Times at which all instances are lost and start again."`
	Releases    []time.Duration `help:"Times from which half of the servers are replaced by those of a new version."`
	Shift       time.Duration   `help:"What each seed adds to these times."`
}

// partSlots is the number of requests that a server runs at once.
const partSlots = 16

// Validate implements kong.Validatable.
func (c *partsCmd) Validate() error {
	switch {
	case c.Seeds < 1:
		return errors.Newf("--seeds: %d is below 1", c.Seeds)
	case c.Parts < 1 || c.Documents < 1 || c.Deadly < 1:
		return errors.New("--parts, --documents, --deadly: below 1")
	case c.Share < 0 || c.Share > 1 || c.Both < 0 || c.Both > 1 || c.Companion < 0 || c.Companion > 1:
		return errors.New("--share, --both, --companion: not a share")
	case slices.ContainsFunc(c.Instances, func(n int) bool { return n < 2 }):
		return errors.New("--instances: below 2")
	default:
		return nil
	}
}

// shifted returns times as a seed has them.
func (c *partsCmd) shifted(times []time.Duration, seed int) (out []time.Duration) {
	for _, at := range times {
		out = append(out, at+time.Duration(seed)*c.Shift)
	}
	return out
}

func (c *partsCmd) options(n, seed int) suspects.Options {
	share := c.Share
	if c.NoneDeadly {
		share = 0
	}
	return suspects.Options{
		Instances: n, Servers: max(minServers, int(serversPerInstance*float64(n))), Seed: uint64(seed + 1), Duration: c.Duration, Rate: c.Rate,
		CrashEvery: c.CrashEvery, CrashShare: c.CrashShare, Loss: c.Loss, RestartEvery: c.Restarts, CutEvery: c.Cuts,
		LoseAll: c.shifted(c.Lose, seed), Releases: c.shifted(c.Releases, seed),
		Prompts: suspects.Prompts{
			Parts: c.Parts, Documents: c.Documents, DeadlyShare: share, BothShare: c.Both, Deadly: c.Deadly, Companion: c.Companion,
			From: c.FirstDeadly, Until: c.Until, Slots: partSlots, Alone: c.Alone,
		},
	}
}

// Run simulates fleets in which a part of prompts ends servers, and prints a row for each fleet
// size.
func (c *partsCmd) Run(e *env) error {
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instances\tservers ended, mean\tmost\tlate\ttrials\tknown to all after at most\tundecided\t"+
		"sound\tserved at once\trefused\tordinary\tserved again\twrites\tmessages an instance and second\tbytes")
	for _, n := range c.Instances {
		var sum suspects.Result
		for seed := range c.Seeds {
			sum.Add(suspects.Play(c.options(n, seed)))
		}
		p, spread := sum.Parts, time.Duration(0)
		if len(p.Spread) > 0 {
			spread = slices.Max(p.Spread)
		}
		seconds := float64(c.Seeds*n) * c.Duration.Seconds()
		fmt.Fprintf(t, "%d\t%.2f\t%d\t%d\t%d\t%v\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%.2f\t%.0f\n",
			n, float64(p.Crashes)/float64(max(1, p.Runs)), p.MostCrashes, p.Late, p.Trials, spread, p.Undecided,
			p.Sound, float64(p.SoundServed)/float64(max(1, p.Sound)), p.Refused, sum.Ordinary, p.ServedAgain, p.Writes,
			float64(sum.Messages)/seconds, float64(sum.Bytes)/seconds)
	}
	return t.Flush()
}
