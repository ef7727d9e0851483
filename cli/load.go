package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/crowd"
	"github.com/auburnmoor/auburnmoor/lab/load"
)

type loadCmd struct {
	Entry       string        `default:"127.0.0.1:7101" help:"Entry instance to ask for the addresses to use."`
	One         bool          `help:"Use only that instance."`
	Key         string        `default:"demo-key" help:"Bearer key."`
	Model       string        `default:"tutor-feedback" help:"Model service to ask."`
	Service     string        `help:"Plain service to call instead."`
	Repeat      int           `default:"1" help:"How often each call of a plain service is sent with its key."`
	Kind        string        `help:"Kind of request; the service's default when empty."`
	Rate        float64       `default:"20" help:"Requests a second."`
	Count       int           `default:"1000" help:"Most requests to send."`
	Duration    time.Duration `default:"30s" help:"Longest time to send for."`
	MinTokens   int           `default:"100" help:"Shortest prompt in tokens."`
	MaxTokens   int           `default:"8000" help:"Longest ordinary prompt in tokens."`
	LongEvery   int           `default:"50" help:"One request in so many has a prompt over 100k tokens; 0 for none."`
	LongTokens  int           `default:"1000000" help:"Longest prompt in tokens."`
	Output      int64         `default:"16" help:"Tokens to generate."`
	Whole       bool          `help:"Ask for whole answers instead of streams."`
	InFlight    int           `default:"2000" help:"Most requests at once."`
	Direct      string        `help:"Engine that gets every second request straight, for comparison."`
	DirectModel string        `default:"tutor@v1" help:"Loaded version to name there."`
	Seed        uint64        `default:"1" help:"Seed of the requests."`
	Crowd       []string      `help:"Kinds of clients that do not behave, beside the load: bodies, slow-bodies, chunks, tiny-chunks, finished, huge, endless, heads, idle, sent-ahead, unread."`
	CrowdSize   int           `default:"100" help:"Clients of each kind at each instance, 5000 at most."`
	CrowdBody   int           `default:"4194304" help:"Length of a body inside the limits in bytes."`
	CrowdPath   string        `default:"/v1/completions" help:"Path that they ask for."`
	CrowdHost   string        `default:"localhost" help:"Host that they name."`
	JSON        bool          `help:"Print JSON."`
	Plot        string        `help:"Write a PNG plot to this file."`
}

// Run sends the load; it fails if any answer is wrong or duplicated.
func (c *loadCmd) Run(e *env) error {
	o := load.Options{
		Direct: c.Direct, DirectModel: c.DirectModel, Key: c.Key, Model: c.Model, Kind: c.Kind,
		Rate: c.Rate, Count: c.Count, Duration: c.Duration, MinTokens: c.MinTokens, MaxTokens: c.MaxTokens,
		LongEvery: c.LongEvery, LongTokens: c.LongTokens, Output: c.Output, Stream: !c.Whole, Service: c.Service,
		Repeat: c.Repeat, InFlight: c.InFlight, Seed: c.Seed,
	}
	if c.Rate <= 0 || c.Count <= 0 || c.InFlight <= 0 || c.Output <= 0 || c.MinTokens <= 0 {
		return usageError(errors.New("rate, count, in-flight, output and min-tokens must be positive"))
	}
	entries, err := c.entries(e.ctx)
	if err != nil {
		return err
	}
	o.Entries = entries
	endCrowds, err := c.startCrowds(e.ctx, entries)
	if err != nil {
		return err
	}
	report, err := load.Run(e.ctx, o)
	crowds := endCrowds()
	if err != nil {
		return err
	}
	if err := c.show(e, report); err != nil {
		return err
	}
	for _, line := range crowds {
		fmt.Fprintln(e.out, line)
	}
	if report.Failed() {
		return errors.New("some answers were wrong or duplicated")
	}
	return nil
}

func (c *loadCmd) show(e *env, r *load.Report) error {
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(e.out)
	}
	return r.WriteTable(e.out)
}

// entries fetches the addresses of the entry instances, as every client does.
func (c *loadCmd) entries(ctx context.Context) ([]string, error) {
	if c.One {
		return []string{c.Entry}, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Entry+"/v1/entries", nil)
	if err != nil {
		return nil, usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var ans struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&ans); err != nil {
		return nil, errors.Wrap(err, "decoding the list of entry instances")
	}
	var out []string
	for _, en := range ans.Entries {
		out = append(out, en.Addr)
	}
	if len(out) == 0 {
		return nil, errors.New("no entry instance is live")
	}
	return out, nil
}

// Bounds of the crowds.
const (
	maxCrowd = 5000
	// crowdPause is the pause before a client that was refused comes back.
	crowdPause = 100 * time.Millisecond
)

// startCrowds has clients that do not behave press the instances, for the time of the load at most. The returned function
// ends them and says what became of them.
func (c *loadCmd) startCrowds(ctx context.Context, entries []string) (end func() []string, err error) {
	if c.CrowdSize < 1 || c.CrowdSize > maxCrowd || c.CrowdBody < 1 {
		return nil, usageError(errors.Newf("crowd-size must be 1 to %d, crowd-body positive", maxCrowd))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	request := crowd.Request{Path: c.CrowdPath, Host: c.CrowdHost, Key: c.Key, IDPrefix: "crowd"}
	crowds := map[string]*crowd.Crowd{}
	var all sync.WaitGroup
	for _, name := range c.Crowd {
		kind, err := crowd.ParseKind(name)
		if err != nil {
			cancel()
			return nil, usageError(err)
		}
		for _, addr := range entries {
			one := &crowd.Crowd{Addr: addr, Deaf: kind == crowd.Unread, Pause: crowdPause}
			crowds[name+" at "+addr] = one
			all.Go(func() { one.Press(ctx, c.CrowdSize, kind.Member(request, c.CrowdBody)) })
		}
	}
	return func() (lines []string) {
		cancel()
		all.Wait()
		for name, one := range crowds {
			taken, refused := one.Counts()
			lines = append(lines, fmt.Sprintf("crowd %s: %d attempts sent all, %d were ended before", name, taken, refused))
		}
		slices.Sort(lines)
		return lines
	}, nil
}
