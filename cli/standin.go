package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/lab/standin/engineserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/platformserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/serviceserver"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

type standinCmd struct {
	Platform standinPlatformCmd `cmd:"" help:"Object API, instance list and weight store."`
	Engine   standinEngineCmd   `cmd:"" help:"A model engine."`
	Service  standinServiceCmd  `cmd:"" help:"A backend server of a plain service."`
}

type standinPlatformCmd struct {
	Addr    string        `default:"127.0.0.1:7001" help:"Address to listen on."`
	ListLag time.Duration `default:"500ms" help:"How late the instance list shows a change."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinPlatformCmd) Run(e *env) error {
	s := platformserver.New(c.Addr, c.ListLag)
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "ready", s.Addr())
	<-e.ctx.Done()
	s.Close()
	return nil
}

// listing describes how a stand-in registers itself in the instance list.
type listing struct {
	Name       string `required:"" help:"Name in the instance list."`
	Platform   string `default:"127.0.0.1:7001" help:"Address of the platform."`
	DataCentre string `default:"dc-a" help:"Data centre."`
	Region     string `default:"dev" help:"Region."`
}

func (l listing) register(ctx context.Context, in instances.Instance) error {
	in.Name, in.DataCentre, in.Region = l.Name, l.DataCentre, l.Region
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+l.Platform+"/instances/"+l.Name, bytes.NewReader(raw))
	if err != nil {
		return usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "registering in the instance list")
	}
	return resp.Body.Close()
}

type standinEngineCmd struct {
	listing
	Addr       string        `required:"" help:"Address to listen on."`
	KVTokens   int64         `default:"480000" help:"KV memory in tokens."`
	StepFactor float64       `default:"1" help:"Scale of the assumed step times."`
	Fencing    bool          `help:"Refuse orders with an old fencing number."`
	ReportLag  time.Duration `default:"500ms" help:"How late load reports are."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinEngineCmd) Run(e *env) error {
	s := engineserver.New(c.Addr, enginecore.Config{
		Name: c.Name, KVTokens: c.KVTokens, Assume: enginecore.Assumed(c.StepFactor), Fencing: c.Fencing,
		ReportLag: c.ReportLag, EventLag: c.ReportLag, EventGap: 50,
	})
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	if err := c.register(e.ctx, instances.Instance{Role: instances.RoleEngine, Addr: s.Addr(), Fencing: c.Fencing}); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "ready", s.Addr())
	<-e.ctx.Done()
	return nil
}

type standinServiceCmd struct {
	listing
	Addr    string        `required:"" help:"Address to listen on."`
	Service string        `required:"" help:"Name of the plain service."`
	Delay   time.Duration `help:"Least time that a call takes."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinServiceCmd) Run(e *env) error {
	s := serviceserver.New(c.Addr, c.Service, &serviceserver.Counter{})
	s.SetDelay(c.Delay)
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	if err := c.register(e.ctx, instances.Instance{Role: instances.RoleService, Addr: s.Addr(), Service: c.Service}); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "ready", s.Addr())
	<-e.ctx.Done()
	return nil
}
