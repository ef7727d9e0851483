// Package admin serves the state dump, operator actions, metrics and profiles on an
// address separate from that of callers.
package admin

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/serve/intake"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "http.admin"

func init() { auburnmoor.Register(new(Admin)) }

// Limits of the callers of the admin address.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Admin is the module "http.admin".
type Admin struct {
	// Profiles enables /debug/pprof.
	Profiles bool `toml:"profiles"`

	intake *intake.Intake
	addr   string
	dump   func() any
	server *http.Server
}

// ModuleInfo implements auburnmoor.Module.
func (*Admin) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, Requires: []auburnmoor.ModuleID{intake.ID}, New: func() auburnmoor.Module { return new(Admin) }}
}

// Provision implements auburnmoor.Provisioner.
func (a *Admin) Provision(c *auburnmoor.Context) (err error) {
	if a.intake, err = auburnmoor.Require[*intake.Intake](c, intake.ID); err != nil {
		return err
	}
	a.addr = c.Self.AdminAddr
	a.dump = func() any { return c.DumpAll() }
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/admin/dump", func(ec echo.Context) error { return ec.JSONPretty(http.StatusOK, a.dump(), "  ") })
	e.POST("/admin/operate/:module/:action", func(ec echo.Context) error {
		if err := c.Operate(auburnmoor.ModuleID(ec.Param("module")), ec.Param("action"), ec.QueryParam("subject")); err != nil {
			return ec.String(http.StatusBadRequest, err.Error()+"\n")
		}
		return ec.NoContent(http.StatusNoContent)
	})
	e.GET("/metrics", echo.WrapHandler(metricsHandler(c)))
	if a.Profiles {
		e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
		e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	}
	a.server = &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: intake.ConnState, ConnContext: intake.ConnContext,
	}
	return nil
}

func metricsHandler(c *auburnmoor.Context) http.Handler {
	if r, ok := c.Reporter.(tallyprom.Reporter); ok {
		return r.HTTPHandler()
	}
	return promhttp.Handler()
}

// Start implements auburnmoor.Starter.
func (a *Admin) Start(ctx context.Context) error {
	limits := func() intake.Limits {
		return intake.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	lis, err := a.intake.Listen(ctx, a.addr, intake.ListenerConfig{Name: "admin", Limits: limits})
	if err != nil {
		return err
	}
	go func() { _ = a.server.Serve(lis) }()
	return nil
}

// Cleanup implements auburnmoor.Cleaner.
func (a *Admin) Cleanup() error { return a.server.Close() }
