//go:build review

package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the program, started as the deploy file says.
type instance struct {
	name, zone                           string
	front, ready, directory, control, ip string
	settings, log                        string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet are the instances of a case.
type fleet struct {
	root, dir string
	store     string
	instances []*instance
}

// freeAddrs returns addresses of n ports that are free now.
func freeAddrs(ip string, n int) (addrs []string) {
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		must(err)
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// newFleet writes the settings of n instances that are spread over zones. storeOf returns the address
// at which an instance finds the store.
func newFleet(root, dir string, n int, zones []string, storeOf func(i int) string) *fleet {
	f := &fleet{root: root, dir: dir}
	// Each instance has a loopback address of its own: the admin port is the same at all.
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, i+1)
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip}
		free := freeAddrs(ip, 4)
		in.front, in.ready, in.directory, in.control = free[0], free[1], free[2], free[3]
		f.instances = append(f.instances, in)
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.toml.tmpl"))
	must(err)
	var seeds []string
	for _, in := range f.instances[:min(3, n)] {
		seeds = append(seeds, in.control)
	}
	for i, in := range f.instances {
		v := fields{
			"node": in.name, "zone": in.zone, "region": "hu-east", "ip": in.ip, "seeds": seeds, "bootstrap": true,
			"listen":   fields{"front": in.front, "ready": in.ready, "directory": in.directory, "control": in.control},
			"limits":   fields{"cpuShare": 0.4, "memoryMb": 284},
			"platform": fields{"address": storeOf(i)},
			"bounds":   smallBounds(),
		}
		in.settings, in.log = filepath.Join(dir, in.name+".toml"), filepath.Join(dir, in.name+".log")
		must(os.WriteFile(in.settings, []byte(render(string(template), v)), 0o600))
	}
	return f
}

func (f *fleet) start() {
	for _, in := range f.instances {
		f.startOne(in)
	}
}

func (f *fleet) startOne(in *instance) {
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.root, "target/auburnmoor"), "serve")
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "AUBURNMOOR_SETTINGS="+in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	in.mu.Lock()
	in.cmd = cmd
	in.mu.Unlock()
	record("start %s pid %d", in.name, cmd.Process.Pid)
}

// signal sends a signal to the process of an instance.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	record("signal %s to %s", s, in.name)
	_ = in.cmd.Process.Signal(s)
}

// wait waits for the exit of the process.
func (in *instance) wait() { _ = in.cmd.Wait() }

func (in *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady(d time.Duration) bool {
	end := time.Now().Add(d)
	for _, in := range f.instances {
		for !in.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// startTimeout bounds the start of all instances.
const startTimeout = 15 * time.Second

// mustBeReady waits until all instances are ready. Otherwise the case could not run, and record.txt gets the
// end of the logs.
func (f *fleet) mustBeReady() {
	if f.awaitReady(startTimeout) {
		return
	}
	for _, in := range f.instances {
		if !in.isReady() {
			raw, _ := os.ReadFile(in.log)
			record("%s is not ready: %s", in.name, raw[max(0, len(raw)-2000):])
		}
	}
	must(fmt.Errorf("instances are not ready"))
}

// stop kills all processes that were started.
func (f *fleet) stop() {
	for _, in := range f.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	}
}
