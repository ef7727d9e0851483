package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxInstances bounds the processes of a run.
const maxInstances = 200

// handlersDelay is the time from the start of a process until its handlers of signals are
// installed. A signal in that time may end it; it has no requests yet.
const handlersDelay = 500 * time.Millisecond

// restartDelay is the time from the exit of an instance to its restart.
const restartDelay = 500 * time.Millisecond

// dataCentreCount is the number of data centres that the instances are spread over.
const dataCentreCount = 3

// instance is one instance of the program, restarted when its process exits.
type instance struct {
	name, dataCentre string
	// Listen addresses of the instance.
	callerAddr, directoryAddr, readyAddr, peerAddr, adminAddr string
	// callerProxy carries traffic from callers, storeProxy that to the store.
	callerProxy, storeProxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the starts of the process, one in progress included.
	life atomic.Int64
	// sigtermAt is when the current process got SIGTERM, zero if it did not;
	// sigtermAtByLife holds that time for each start.
	sigtermAt       time.Time
	sigtermAtByLife map[int]time.Time
	// startedAt is when the current process was started; killedLife is the last start whose
	// process the run has killed.
	startedAt  time.Time
	killedLife int64
	// exits holds the exits that the run did not cause or that failed.
	exits []badExit
	// disturbances records faults, maintenance records shutdowns and reloads, breaks those
	// faults that break off requests of the instance.
	disturbances, maintenance, breaks disturbanceLog
	// freezes records when the process was stopped.
	freezes disturbanceLog
}

// badExit is the exit of a process that was not asked to exit, or did not exit with success.
type badExit struct {
	at  time.Time
	err error
}

// fleet holds the instances of a run.
type fleet struct {
	dir, bin  string
	mutant    Mutant
	instances []*instance
	processes sync.WaitGroup
	closing   chan struct{}
	// restartErr is why an instance could not be restarted.
	restartErr atomic.Pointer[error]
}

// firstPort is the port of the first listener; the other listeners use the ports after it.
const firstPort = 20_000

// loopback returns a loopback address derived from the process ID, so that concurrent runs
// and outgoing connections don't compete for ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/(250*250)%250, 1+pid/250%250, 1+pid%250)
}

func newFleet(o Options, n int, store string) (*fleet, error) {
	f := &fleet{dir: o.Dir, bin: o.Binary, mutant: o.Mutant, closing: make(chan struct{})}
	ip, port := loopback(), firstPort
	for i := range n {
		in := &instance{name: fmt.Sprintf("i%03d", i), dataCentre: fmt.Sprintf("dc-%d", i%dataCentreCount), sigtermAtByLife: map[int]time.Time{}}
		for _, addr := range []*string{&in.callerAddr, &in.directoryAddr, &in.readyAddr, &in.peerAddr, &in.adminAddr} {
			*addr = fmt.Sprintf("%s:%d", ip, port)
			port++
		}
		var err error
		if in.storeProxy, err = newProxy(store); err != nil {
			return nil, err
		}
		if in.callerProxy, err = newProxy(in.callerAddr); err != nil {
			return nil, err
		}
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		if err := f.configure(in); err != nil {
			return nil, err
		}
		if err := f.start(in); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// seedCount is the number of seed peers in the settings of each instance.
const seedCount = 3

func (f *fleet) configure(in *instance) error {
	var peers []string
	for _, o := range f.instances[:min(seedCount, len(f.instances))] {
		peers = append(peers, o.peerAddr)
	}
	return os.WriteFile(f.settingsPath(in), fmt.Appendf(nil, `[instance]
name = %q
data_centre = %q
region = "r"
caller_addr = %q
peer_addr = %q
admin_addr = %q
cores = 0.4
memory_mb = 284
log_format = "json"
drain_timeout = "8s"
modules = ["platform.client", "platform.front", "http.admin"]
[platform.client]
store = %q
seeds = %q
[platform.front]
directory = %q
ready = %q
[control.catalog]
stable_after = "3s"
evacuations = true
[control.members]
few_listed = true
poll_list = "20s"
gossip = "400ms"
fail_base = "700ms"
fail_most = "2200ms"
fail_distant = "5s"
[serve.relay]
retry_ratio = 0.2
retry_extra = 100
retry_window = "10s"
[serve.intake]
%s
[control.quarantine]
off = %t
`, in.name, in.dataCentre, in.callerAddr, in.peerAddr, in.adminAddr, in.storeProxy.addr(), strings.Join(peers, ","), in.directoryAddr, in.readyAddr, f.mutant.intakeSettings(), f.mutant == ForgetsCrashes), 0o600)
}

func (f *fleet) settingsPath(in *instance) string { return filepath.Join(f.dir, in.name+".toml") }

// logPath returns the log file shared by all starts of an instance.
func (f *fleet) logPath(in *instance) string { return filepath.Join(f.dir, in.name+".log") }

// start starts the process of an instance and restarts it whenever it exits.
func (f *fleet) start(in *instance) error {
	log, err := os.OpenFile(f.logPath(in), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	cmd := exec.Command(f.bin, "serve", "--config", f.settingsPath(in))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the instances if the soak run itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.mu.Lock()
	defer in.mu.Unlock()
	if f.isClosing() {
		return log.Close()
	}
	// The process may serve requests before Start returns.
	in.life.Add(1)
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, in.name)
	}
	in.cmd, in.sigtermAt, in.startedAt = cmd, time.Time{}, time.Now()
	in.disturbances.addInstant()
	f.processes.Add(1)
	go f.restartOnExit(in, cmd, log)
	return nil
}

func (f *fleet) restartOnExit(in *instance, cmd *exec.Cmd, log *os.File) {
	defer f.processes.Done()
	in.noteExit(cmd.Wait(), f.isClosing())
	_ = log.Close()
	if in.currentSigterm().IsZero() {
		in.disturbances.addInstant()
	} else {
		in.maintenance.addInstant()
	}
	select {
	case <-f.closing:
	case <-time.After(restartDelay):
		if err := f.start(in); err != nil {
			f.restartErr.Store(&err)
		}
	}
}

func (f *fleet) isClosing() bool {
	select {
	case <-f.closing:
		return true
	default:
		return false
	}
}

// noteExit records the exit of the current process if it is a bad one.
func (in *instance) noteExit(err error, closing bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	asked := !in.sigtermAt.IsZero() && err == nil
	if closing || asked || in.killedLife == in.life.Load() {
		return
	}
	in.exits = append(in.exits, badExit{time.Now(), err})
}

// signal sends a signal to the current process and records the disturbance.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if time.Since(in.startedAt) < handlersDelay {
		in.killedLife = in.life.Load()
	}
	switch s {
	case syscall.SIGTERM:
		if in.sigtermAt.IsZero() {
			in.sigtermAt = time.Now()
			in.sigtermAtByLife[in.currentLife()] = in.sigtermAt
		}
		in.maintenance.addInstant()
	case syscall.SIGHUP:
		in.maintenance.addInstant()
	case syscall.SIGSTOP:
		in.disturbances.begin()
		in.breaks.begin()
		in.freezes.begin()
	case syscall.SIGCONT:
		in.disturbances.end()
		in.breaks.end()
		in.freezes.end()
	default:
		in.killedLife = in.life.Load()
		in.disturbances.addInstant()
		in.breaks.addInstant()
	}
	// The process may have exited already.
	_ = in.cmd.Process.Signal(s)
}

// kill kills the current process for a mutant, without recording a disturbance.
func (in *instance) kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Kill()
}

// currentLife returns the number of the current start. It does not wait for a start in progress,
// which may take longer than lossSlack on a busy host.
func (in *instance) currentLife() int { return int(in.life.Load()) }

// currentSigterm returns when the current process got SIGTERM, zero if it did not.
func (in *instance) currentSigterm() time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.sigtermAt
}

// pid returns the ID of the current process.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// close kills the processes that the fleet started and waits for their exit.
func (f *fleet) close() {
	close(f.closing)
	for _, in := range f.instances {
		in.mu.Lock()
		_ = in.cmd.Process.Signal(syscall.SIGCONT)
		_ = in.cmd.Process.Kill()
		in.mu.Unlock()
	}
	f.processes.Wait()
	for _, in := range f.instances {
		in.callerProxy.close()
		in.storeProxy.close()
	}
}
