//go:build review

package stage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// Names and sizes of the deployment that the scripts play: that of thistlegate-ops.toml.
const (
	modelService = "moor-llm"
	plainService = "tracker-api"
	host         = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	machines     = 9
	engines      = 16
	plainServers = 3
)

var zones = []string{"clyde-hall", "forth-hall", "carron-hall"}

// machine is one entry instance, a process of the program.
type machine struct {
	name                             string
	zone                             string
	front, ready, control, directory string
	admin                            string
	settings                         string
	bootstrap                        bool
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// site is a small deployment: a store, workers, and machines.
type site struct {
	dir      string
	store    *storeserver.Server
	fleet    *fleet
	engines  []*worker
	plain    []*worker
	machines []*machine
	version  int
	// storeAddr is where the machines reach the store, bin the program that they run.
	storeAddr, bin string
	pager          *pager
}

// Listeners get ports below those that outgoing connections are given.
const firstPort, lastPort = 12_000, 30_000

var usedPorts = map[int]bool{}

// freeAddr returns a free address of the loopback interface for TCP and UDP.
func freeAddr() (string, error) {
	for range 200 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] || !isFree(addr) {
			continue
		}
		usedPorts[port] = true
		return addr, nil
	}
	return "", errors.New("no free port")
}

func isFree(addr string) bool {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer lis.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}

// newSite starts the store and the workers, and writes the configuration and the workers' entries.
func newSite(dir string) (*site, error) {
	s := &site{dir: dir, store: storeserver.New("127.0.0.1:0"), fleet: newFleet()}
	if err := s.store.Start(); err != nil {
		return nil, err
	}
	var err error
	if s.pager, s.storeAddr, err = startPager(s.store.Addr()); err != nil {
		return nil, err
	}
	for i := range engines {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x1a2b3c4d+i*0x0d0f1113), service: modelService, zone: zones[i%3], events: 8, pause: 10 * time.Millisecond}
		if err := s.fleet.start(w); err != nil {
			return nil, err
		}
		s.engines = append(s.engines, w)
	}
	for i := range plainServers {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x0badcafe+i*0x01010101), service: plainService, zone: zones[i%3], pause: 15 * time.Millisecond}
		if err := s.fleet.start(w); err != nil {
			return nil, err
		}
		s.plain = append(s.plain, w)
	}
	for _, w := range append(append([]*worker(nil), s.engines...), s.plain...) {
		if err := s.announce(w.id, w, w.addr); err != nil {
			return nil, err
		}
	}
	return s, s.configure()
}

// announce writes the entry of a ready worker under an id, with an address.
func (s *site) announce(id string, w *worker, addr string) error {
	return s.announceAs(id, w, addr, "ready")
}

func (s *site) announceAs(id string, w *worker, addr, state string) error {
	slots := 16
	if w.service == plainService {
		slots = 6
	}
	return s.store.Put("servers", id, map[string]any{
		"service": w.service, "address": addr, "zone": w.zone, "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": 4,
	})
}

// configure writes the next configuration.
func (s *site) configure() error {
	s.version += 3
	route := func(name, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": 1, "maxAttempts": attempts, "public": false, "resumable": kind == "streaming", "gapTargetMs": 250,
		}
	}
	return s.store.Put("config", "main", map[string]any{
		"version": s.version,
		"routes": []any{
			route("triage", "streaming", modelService, 10_000, 300, 2), route("crashdigest", "streaming", modelService, 10_000, 1500, 2),
			route("lookup", "unsafe", plainService, 1000, 100, 1), route("status", "safe", plainService, 1000, 100, 2),
		},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 344, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvCapacity": 315_000, "tokenKvBytes": 163_840, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.05,
				"usual": map[string]any{"prompt": 11_121, "answer": 1622},
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 52, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// startMachines starts the machines of the deployment and waits until all are ready.
func (s *site) startMachines(bin string) error {
	s.bin = bin
	for i := range machines {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], bootstrap: true}
		for _, addr := range []*string{&m.front, &m.ready, &m.control, &m.directory, &m.admin} {
			a, err := freeAddr()
			if err != nil {
				return err
			}
			*addr = a
		}
		s.machines = append(s.machines, m)
	}
	for _, m := range s.machines {
		if err := s.startMachine(bin, m); err != nil {
			return err
		}
	}
	return s.awaitReady(s.machines, 20*time.Second)
}

// settingsOf returns the settings of a machine, as deploy/settings.toml.tmpl makes them.
func (s *site) settingsOf(m *machine) string {
	var seeds []string
	for _, o := range s.machines[:min(3, len(s.machines))] {
		seeds = append(seeds, o.control)
	}
	text := fmt.Sprintf(`[instance]
name = %q
data_centre = %q
region = "lowland"
caller_addr = %q
peer_addr = %q
admin_addr = %q
cores = 0.4
memory_mb = 284
max_descriptors = 4100
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
stable_after = "3000ms"

[control.members]
few_listed = true
poll_list = "20s"
gossip = "400ms"
fail_base = "700ms"
fail_most = "2200ms"
fail_distant = "5s"

[serve.relay]
retry_ratio = 0.2
retry_extra = 106
retry_window = "10s"
`, m.name, m.zone, m.front, m.control, m.admin, s.storeAddr, strings.Join(seeds, ","), m.directory, m.ready)
	if m.bootstrap {
		text += "first_start = true\n"
	}
	return text
}

// startMachine starts the process of a machine with the command of deploy/system.toml.
func (s *site) startMachine(bin string, m *machine) error {
	m.settings = filepath.Join(s.dir, m.name+".conf")
	if err := os.WriteFile(m.settings, []byte(s.settingsOf(m)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(bin, "serve")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "AUBURNMOOR_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// awaitReady waits until machines say that they are ready and list each other.
func (s *site) awaitReady(list []*machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, m := range list {
		for {
			resp, err := client.Get("http://" + m.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the site started.
func (s *site) stop() {
	for _, m := range s.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		select {
		case <-m.exited:
		default:
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	s.fleet.close()
	_ = s.pager.server.Close()
	s.store.Close()
}
