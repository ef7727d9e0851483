package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/dev"
	"github.com/auburnmoor/auburnmoor/lab/standin/answer"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// fleet is a site whose instances and stand-ins run as processes.
type fleet struct {
	dir, bin string
	procs    map[string]*exec.Cmd
}

// fleetBasePort is the first port of the fleet.
const fleetBasePort = 18_000

func addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", fleetBasePort+portShift+offset) }

func (f *fleet) start(name string, args ...string) {
	f.startCommand(name, exec.Command(f.bin, args...))
}

// startLimited is start for a process that can get a number of descriptors, zero for that of the test.
func (f *fleet) startLimited(name string, descriptors int, args ...string) {
	if descriptors == 0 {
		f.start(name, args...)
		return
	}
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptors), "sh", f.bin}, args...)
	f.startCommand(name, exec.Command("sh", limited...))
}

func (f *fleet) startCommand(name string, cmd *exec.Cmd) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	Expect(err).NotTo(HaveOccurred())
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	f.procs[name] = cmd
}

func (f *fleet) signal(name string, s syscall.Signal) {
	Expect(f.procs[name].Process.Signal(s)).To(Succeed())
}

func (f *fleet) wait(name string) {
	_ = f.procs[name].Wait()
	delete(f.procs, name)
}

func (f *fleet) stop() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (f *fleet) startEntry(i int) { f.startEntryWith(i, "", 0) }

// startEntryWith starts an instance with further settings of its process and a number of descriptors, zero for
// that of the test.
func (f *fleet) startEntryWith(i int, instance string, descriptors int) {
	name := fmt.Sprintf("entry-%d", i)
	path := filepath.Join(f.dir, name+".toml")
	conf := fmt.Sprintf(`[instance]
name = %q
data_centre = "dc-%d"
region = "test"
caller_addr = %q
peer_addr = %q
admin_addr = %q
%s
[platform.api]
object_api = %q
instance_list = %q
[http.api]
keep_entries = "1s"
`, name, i, addr(100+i), addr(200+i), addr(300+i), instance, addr(1), addr(1))
	Expect(os.WriteFile(path, []byte(conf), 0o600)).To(Succeed())
	f.startLimited(name, descriptors, "serve", "--config", path)
}

// buildFleet builds the program and returns a fleet that has no processes yet.
func buildFleet() *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), procs: map[string]*exec.Cmd{}}
	f.bin = filepath.Join(f.dir, "auburnmoor")
	out, err := exec.Command("go", "build", "-o", f.bin, "../cmd/auburnmoor").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return f
}

func newFleet() *fleet {
	f := buildFleet()
	f.start("platform", "standin", "platform", "--addr", addr(1))
	Eventually(func() int { return call("GET", "http://"+addr(1)+"/counts", "").status }, "10s", "50ms").Should(Equal(200))
	for i := 1; i <= 2; i++ {
		f.start(fmt.Sprint("engine-", i), "standin", "engine", "--name", fmt.Sprint("engine-", i), "--addr", addr(10+i), "--platform", addr(1), "--step-factor", "2.5")
	}
	f.start("service", "standin", "service", "--name", "enrolment-1", "--service", "enrolment", "--addr", addr(50), "--platform", addr(1))
	out, err := exec.Command(f.bin, "apply", "../examples/te-puna.toml", "--object-api", addr(1)).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	for i := 1; i <= 3; i++ {
		f.startEntry(i)
	}
	for i := 1; i <= 3; i++ {
		Eventually(func() int { return completion(addr(100+i), "ready?", 1).status }, "40s", "200ms").Should(Equal(200))
		Eventually(func() string { return call("GET", "http://"+addr(100+i)+"/v1/entries", "").body }, "10s", "100ms").Should(ContainSubstring("entry-3"))
	}
	return f
}

// kvTokensHeld returns the KV memory in use at the engines in tokens, or -1 if one does not
// answer.
func (f *fleet) kvTokensHeld() int64 {
	sum := int64(0)
	for i := 1; i <= 2; i++ {
		r, err := engine.NewClient(time.Second).Load(context.Background(), addr(10+i))
		if err != nil {
			return -1
		}
		sum += r.KVUsed
	}
	return sum
}

var _ = Describe("a site whose instances are processes", Ordered, func() {
	var f *fleet
	BeforeAll(func() { f = newFleet() })
	AfterAll(func() { f.stop() })

	// Guards against instances that never find each other because nothing but the instances
	// themselves registers them in the instance list.
	It("discovers its instances", func() {
		for i := 1; i <= 3; i++ {
			body := call("GET", "http://"+addr(100+i)+"/v1/entries", "").body
			for k := 1; k <= 3; k++ {
				Expect(body).To(ContainSubstring(addr(100 + k)))
			}
		}
	})

	// Guards against an answer that is lost or generated twice when its instance is killed.
	// The engine keeps the stream and the ledger records where it runs, so a retry with the
	// same key at another instance gets the answer.
	It("delivers the answer of a killed instance completely and once", func() {
		raw, _ := json.Marshal(map[string]any{"model": "tutor-feedback", "prompt": "the appeal", "max_tokens": 200})
		header := []string{"X-Request-Kind", "appeal-review", "Idempotency-Key", "appeal-1"}
		go func() {
			defer GinkgoRecover()
			call("POST", "http://"+addr(101)+"/v1/completions", string(raw), header...)
		}()
		time.Sleep(1500 * time.Millisecond)
		f.signal("entry-1", syscall.SIGKILL)
		f.wait("entry-1")
		var r reply
		Eventually(func() int {
			r = call("POST", "http://"+addr(102)+"/v1/completions", string(raw), header...)
			return r.status
		}, "30s", "300ms").Should(Equal(200), "last answer: %s", &r.body)
		Expect(text(r)).To(Equal(answer.Whole("the appeal", 200)))
	})

	It("cancels the streams of a killed instance at the engines within 30 s", func() {
		raw, _ := json.Marshal(map[string]any{"model": "tutor-feedback", "prompt": strings.Repeat("x", 40_000), "max_tokens": 2000, "stream": true})
		req, _ := http.NewRequest("POST", "http://"+addr(102)+"/v1/completions", bytes.NewReader(raw))
		req.Header.Set("Authorization", "Bearer "+dev.DemoKey)
		req.Header.Set("X-Request-Kind", "portfolio-review")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		_, _ = resp.Body.Read(make([]byte, 16))
		f.signal("entry-2", syscall.SIGKILL)
		f.wait("entry-2")
		Eventually(f.kvTokensHeld, "5s", "50ms").Should(BeNumerically(">", 0))
		// If it were not cancelled, the stream would run for 30 s.
		Eventually(f.kvTokensHeld, "25s", "200ms").Should(BeZero())
		f.startEntry(1)
		f.startEntry(2)
		for i := 1; i <= 2; i++ {
			Eventually(func() int { return completion(addr(100+i), "back", 1).status }, "20s", "200ms").Should(Equal(200))
		}
	})

	It("serves while the platform is frozen, and an instance exits with 0 on SIGTERM", func() {
		f.signal("platform", syscall.SIGSTOP)
		for i := range 20 {
			Expect(completion(addr(101+i%3), fmt.Sprint("outage ", i), 2).status).To(Equal(200))
			time.Sleep(100 * time.Millisecond)
		}
		f.signal("platform", syscall.SIGCONT)
		f.signal("entry-3", syscall.SIGTERM)
		Expect(f.procs["entry-3"].Wait()).To(Succeed())
		delete(f.procs, "entry-3")
	})
})
