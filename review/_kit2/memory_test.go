//go:build review

package stage

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memoryMb of a machine in KiB.
	memoryLimit = 284 << 10
	// headLimit is maxHeaderBytes.
	headLimit = 16_384
	// Clients of the crowd at one machine: with a body that stops short of its end, with a whole request, and the
	// former at the directory.
	bodyClients, wholeClients, directoryClients = 620, 205, 156
	// crowdBody is the length of their bodies, of which the last byte does not come.
	crowdBody = 60_000
	// pressTime is how long a crowd stays.
	pressTime = 9 * time.Second
	// fatalEnds and fatalMachines are the bounds of the rule.
	fatalEnds, fatalMachines = 3, 2
)

// headerChars are characters of names of headers that differ in more than case.
const headerChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// manyLines returns as many short headers as fit into a size.
func manyLines(size int) string {
	var b strings.Builder
	for _, first := range headerChars {
		for _, second := range headerChars {
			// The system counts four bytes a line beside the name.
			if size -= 6; size < 0 {
				return b.String()
			}
			b.WriteString(string(first) + string(second) + ":\r\n")
		}
	}
	for _, second := range headerChars {
		for _, third := range headerChars {
			if size -= 7; size < 0 {
				return b.String()
			}
			b.WriteString("x" + string(second) + string(third) + ":\r\n")
		}
	}
	return b.String()
}

// crowdRequests are what the clients of a crowd send.
type crowdRequests struct{ body, whole, directory []byte }

func newCrowdRequests() crowdRequests {
	common := fmt.Sprintf("Host: %s\r\nX-Request-Id: 0123456789abcdef\r\nX-Deadline-Ms: 10000\r\nX-Token-Counts: 5000,400\r\nAuthorization: Bearer %s\r\n", host, apiKey)
	lines := manyLines(headLimit - len(common) - 200)
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("x", crowdBody-1))
	return crowdRequests{
		body:      []byte("POST /triage/1 HTTP/1.1\r\n" + common + lines + body),
		whole:     []byte("POST /triage/1 HTTP/1.1\r\n" + common + lines + "\r\n"),
		directory: []byte("GET /resolve?name=x HTTP/1.1\r\n" + common + lines + body),
	}
}

// tooMuchMemory plays clients that do not behave at some machines. The platform ends a process that exceeds the
// memory of its machine, and starts it again.
func tooMuchMemory(s *site, rec *recorder, trouble bool) ([]string, error) {
	for _, w := range s.engines {
		w.pause = time.Second
	}
	time.Sleep(4 * time.Second)
	crowd := newCrowdRequests()
	rec.note("heads of %d bytes with %d lines", len(crowd.whole), strings.Count(string(crowd.whole), "\n"))
	ends := make([]int, fatalMachines)
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	for i := range fatalMachines {
		wg.Go(func() {
			n, err := s.pressAgainAndAgain(rec, s.machines[i], crowd, trouble)
			mu.Lock()
			defer mu.Unlock()
			ends[i] = n
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	rec.note("ends for want of memory by machine: %v", ends)
	for _, n := range ends {
		if n < fatalEnds {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("the processes of %d of %d machines ended %d times each, over the memory of their machine", fatalMachines, len(s.machines), fatalEnds)}, nil
}

// pressAgainAndAgain has crowds come to one machine, and returns how often its process ended.
func (s *site) pressAgainAndAgain(rec *recorder, m *machine, crowd crowdRequests, trouble bool) (ends int, err error) {
	for range fatalEnds {
		var conns []net.Conn
		if trouble {
			conns = press(m, crowd)
		}
		most, over := watchMemory(m)
		rec.note("%s: %d clients, %d KiB at most, limit %d KiB", m.name, len(conns), most, memoryLimit)
		closeAll(conns)
		if !over {
			continue
		}
		ends++
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
		time.Sleep(time.Second)
		m.bootstrap = false
		if err := s.startMachine(s.bin, m); err != nil {
			return ends, err
		}
		if err := s.awaitReady([]*machine{m}, 15*time.Second); err != nil {
			return ends, err
		}
	}
	return ends, nil
}

// press connects the clients of a crowd to a machine.
func press(m *machine, crowd crowdRequests) (conns []net.Conn) {
	connect := func(n int, addr string, text []byte) {
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				continue
			}
			conns = append(conns, c)
			go func() { _, _ = c.Write(text) }()
			time.Sleep(time.Millisecond)
		}
	}
	connect(bodyClients, m.front, crowd.body)
	connect(wholeClients, m.front, crowd.whole)
	connect(directoryClients, m.directory, crowd.directory)
	return conns
}

// watchMemory returns the most memory of a process in KiB, and whether that exceeds the limit.
func watchMemory(m *machine) (most int, over bool) {
	for end := time.Now().Add(pressTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		most = max(most, residentMemory(m.cmd.Process.Pid))
		if most > memoryLimit {
			return most, true
		}
	}
	return most, false
}

// residentMemory returns the resident memory of a process in KiB.
func residentMemory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])
			return n
		}
	}
	return 0
}
