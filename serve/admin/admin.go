// Package admin serves the state dump, operator actions, metrics and profiles on an
// address separate from that of callers.
package admin

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/auburnmoor/auburnmoor"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "http.admin"

func init() { auburnmoor.Register(new(Admin)) }

// Admin is the module "http.admin".
type Admin struct {
	// Profiles enables /debug/pprof.
	Profiles bool `toml:"profiles"`

	addr   string
	dump   func() any
	server *http.Server
}

// ModuleInfo implements auburnmoor.Module.
func (*Admin) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, New: func() auburnmoor.Module { return new(Admin) }}
}

// Provision implements auburnmoor.Provisioner.
func (a *Admin) Provision(c *auburnmoor.Context) error {
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
	a.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

func metricsHandler(c *auburnmoor.Context) http.Handler {
	if r, ok := c.Reporter.(tallyprom.Reporter); ok {
		return r.HTTPHandler()
	}
	return promhttp.Handler()
}

// Start implements auburnmoor.Starter.
func (a *Admin) Start(context.Context) error {
	lis, err := net.Listen("tcp", a.addr)
	if err != nil {
		return errors.Wrap(err, "admin address")
	}
	go func() { _ = a.server.Serve(lis) }()
	return nil
}

// Cleanup implements auburnmoor.Cleaner.
func (a *Admin) Cleanup() error { return a.server.Close() }
