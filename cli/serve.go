package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/process"
	"github.com/auburnmoor/auburnmoor/settings"
)

type serveCmd struct {
	Config string `required:"" env:"AUBURNMOOR_SETTINGS" type:"existingfile" help:"Settings file of the instance."`
}

// Run serves until SIGINT or SIGTERM, then drains.
func (c *serveCmd) Run(e *env) error {
	// The default action of SIGHUP ends the process with its open requests, so the handler
	// stays until the process exits.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	f, err := settings.Load(c.Config)
	if err != nil {
		return usageError(err)
	}
	if err := f.CheckAll(); err != nil {
		return usageError(err)
	}
	log, err := process.NewLog(f.Instance.LogFormat)
	if err != nil {
		return err
	}
	if limit := f.Instance.HeapLimit(); limit > 0 {
		// Without a limit, the heap may double between two collections, and the kernel
		// kills the process on a small machine although half of the heap is garbage.
		debug.SetMemoryLimit(limit)
	}
	p, err := process.New(f, log)
	if err != nil {
		return usageError(err)
	}
	if err := p.Start(context.Background()); err != nil {
		return err
	}
	log.Info("started", zap.String("settings", f.Path))
	watchSettings(e.ctx, hup, p, f, log)
	log.Info("draining")
	go ignoreReloads(hup, log)
	return drain(p, f, log)
}

// settingsPollInterval is the interval of rereading the settings file, which may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings applies changes of the settings file until ctx ends. A signal on hup makes it
// reread the file at once.
func watchSettings(ctx context.Context, hup <-chan os.Signal, p *process.Process, f *settings.File, log *zap.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := f
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		next, err := settings.Load(f.Path)
		if err == nil && !signalled && next.Equal(last) {
			continue
		}
		if err == nil {
			err = p.Reload(next.Configure)
		}
		if err != nil {
			log.Error("settings reload failed", zap.Bool("signalled", signalled), eventlog.Error(err))
			continue
		}
		log.Info("settings reloaded", zap.Bool("signalled", signalled), zap.Bool("changed", !next.Equal(last)))
		last = next
	}
}

// ignoreReloads logs the signals on hup that arrive during a drain, until the process exits.
func ignoreReloads(hup <-chan os.Signal, log *zap.Logger) {
	for range hup {
		log.Info("SIGHUP ignored while draining")
	}
}

// exitMargin is the part of the drain timeout reserved for closing the modules, so that
// the process exits before it is killed.
const exitMargin = 500 * time.Millisecond

func drain(p *process.Process, f *settings.File, log *zap.Logger) error {
	ctx := context.Background()
	if d := f.Instance.DrainTimeout.Std() - exitMargin; d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	err := p.Stop(ctx)
	log.Info("stopped", zap.Error(err))
	return errors.Join(err, p.Close())
}

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a settings file in full without starting anything."`
}

type configCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run reports every problem of a settings file.
func (c *configCheckCmd) Run(e *env) error {
	f, err := settings.Load(c.File)
	if f != nil && f.Path != "" {
		err = errors.Join(err, f.CheckAll())
	}
	if err != nil {
		return usageError(err)
	}
	fmt.Fprintf(e.out, "%s: ok\n", c.File)
	return nil
}

type manifestCmd struct {
	Check manifestCheckCmd `cmd:"" help:"Check a manifest in full."`
}

type manifestCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Manifest file."`
}

// Run reports every problem of a manifest.
func (c *manifestCheckCmd) Run(e *env) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(raw)
	if err != nil {
		return usageError(errors.Wrap(err, c.File))
	}
	fmt.Fprintf(e.out, "%s: ok: site %s, %d services, %d kinds, %d customers\n", c.File, m.Site, len(m.Services), len(m.Kinds), len(m.Customers))
	return nil
}
