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

// mostInstances bounds the processes of a run.
const mostInstances = 200

// backAfter is how long an instance that ended stays away.
const backAfter = 500 * time.Millisecond

// dataCentres is over how many data centres the instances are spread.
const dataCentres = 3

// instance is one process of the program and its links.
type instance struct {
	name, dataCentre string
	// caller, directory, ready, peer and admin are where it listens.
	caller, directory, ready, peer, admin string
	// front is where callers reach it, store the link by which it reaches the store.
	front, store *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts its starts.
	life int
	// told is when the present life was told to end, zero if it was not, toldOf that of
	// each life.
	told   time.Time
	toldOf map[int]time.Time
	// calm knows of disturbances, planned of shutdowns and reloads.
	calm, planned calm
}

// fleet is the processes of a run.
type fleet struct {
	dir, bin  string
	mutant    Mutant
	instances []*instance
	ended     sync.WaitGroup
	closing   chan struct{}
	// problem is why an instance could not be started again.
	problem atomic.Pointer[error]
}

// firstPort is that of the first listener of a run; the others' follow.
const firstPort = 20_000

// loopback is an address of the loopback range for the processes of this run alone: runs
// side by side and outgoing connections take no ports of each other there.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/(250*250)%250, 1+pid/250%250, 1+pid%250)
}

func newFleet(o Options, n int, store string) (*fleet, error) {
	f := &fleet{dir: o.Dir, bin: o.Binary, mutant: o.Mutant, closing: make(chan struct{})}
	ip, port := loopback(), firstPort
	for i := range n {
		in := &instance{name: fmt.Sprintf("i%03d", i), dataCentre: fmt.Sprintf("dc-%d", i%dataCentres), toldOf: map[int]time.Time{}}
		for _, addr := range []*string{&in.caller, &in.directory, &in.ready, &in.peer, &in.admin} {
			*addr = fmt.Sprintf("%s:%d", ip, port)
			port++
		}
		var err error
		if in.store, err = newProxy(store); err != nil {
			return nil, err
		}
		if in.front, err = newProxy(in.caller); err != nil {
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

// seeds is how many instances the settings of each name.
const seeds = 3

func (f *fleet) configure(in *instance) error {
	var peers []string
	for _, o := range f.instances[:min(seeds, len(f.instances))] {
		peers = append(peers, o.peer)
	}
	return os.WriteFile(f.settings(in), fmt.Appendf(nil, `[instance]
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
[control.quarantine]
off = %t
`, in.name, in.dataCentre, in.caller, in.peer, in.admin, in.store.addr(), strings.Join(peers, ","), in.directory, in.ready, f.mutant == ForgetsCrashes), 0o600)
}

func (f *fleet) settings(in *instance) string { return filepath.Join(f.dir, in.name+".toml") }

// logOf is where the lives of an instance write their log.
func (f *fleet) logOf(in *instance) string { return filepath.Join(f.dir, in.name+".log") }

// start begins a new life of an instance, which begins again whenever it ends.
func (f *fleet) start(in *instance) error {
	log, err := os.OpenFile(f.logOf(in), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	cmd := exec.Command(f.bin, "serve", "--config", f.settings(in))
	cmd.Stdout, cmd.Stderr = log, log
	// No process is left behind where the soak itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.mu.Lock()
	defer in.mu.Unlock()
	if f.isClosing() {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, in.name)
	}
	in.cmd, in.told = cmd, time.Time{}
	in.life++
	in.calm.strike()
	f.ended.Add(1)
	go f.await(in, cmd, log)
	return nil
}

func (f *fleet) await(in *instance, cmd *exec.Cmd, log *os.File) {
	defer f.ended.Done()
	_ = cmd.Wait()
	_ = log.Close()
	if _, told := in.now(); told.IsZero() {
		in.calm.strike()
	} else {
		in.planned.strike()
	}
	select {
	case <-f.closing:
	case <-time.After(backAfter):
		if err := f.start(in); err != nil {
			f.problem.Store(&err)
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

// signal sends a signal to the present life of an instance.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		if in.told.IsZero() {
			in.told = time.Now()
			in.toldOf[in.life] = in.told
		}
		in.planned.strike()
	case syscall.SIGHUP:
		in.planned.strike()
	case syscall.SIGSTOP:
		in.calm.begin()
	case syscall.SIGCONT:
		in.calm.end()
	default:
		in.calm.strike()
	}
	// It may have ended meanwhile.
	_ = in.cmd.Process.Signal(s)
}

// kill ends the present life of an instance as a mutant does, unseen by the checks.
func (in *instance) kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Kill()
}

// now returns the present life and when it was told to end.
func (in *instance) now() (life int, told time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.life, in.told
}

// process returns the id of the present life's process.
func (in *instance) process() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// close ends the processes that were started here.
func (f *fleet) close() {
	close(f.closing)
	for _, in := range f.instances {
		in.mu.Lock()
		_ = in.cmd.Process.Signal(syscall.SIGCONT)
		_ = in.cmd.Process.Kill()
		in.mu.Unlock()
	}
	f.ended.Wait()
	for _, in := range f.instances {
		in.front.close()
		in.store.close()
	}
}
