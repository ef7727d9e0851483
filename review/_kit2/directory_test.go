//go:build review

package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// crowdPerMachine is how many clients that do not behave each directory gets.
	crowdPerMachine = 160
	// bodyLength is the length of the bodies that they announce, of which they send all but the last byte.
	bodyLength = 1000
	// clientsPerMachine is how many ordinary clients try each directory in each round.
	clientsPerMachine = 8
	rounds            = 10
	betweenRounds     = 2 * time.Second
)

// unfinishedBodies plays clients that do not behave: they send a request to the directory whose body stops short
// of its end, and stay open. Ordinary clients ask the same directories.
func unfinishedBodies(s *site, rec *recorder, trouble bool) ([]string, error) {
	time.Sleep(5 * time.Second)
	before := s.ask(rec, "before", 3*time.Second)
	if trouble {
		crowd, err := s.crowd()
		if err != nil {
			return nil, err
		}
		defer closeAll(crowd)
		rec.note("%d clients that do not behave at each of %d directories, %d bytes each", crowdPerMachine, len(s.machines), bodyLength-1)
	}
	time.Sleep(stableTime)
	silentSince := map[*machine]time.Time{}
	breaches := map[*machine]string{}
	for range rounds {
		for _, m := range s.machines {
			ready, answered := isReady(m), s.tryDirectory(m)
			rec.note("%s: ready %t, its directory answers %d of %d ordinary clients", m.name, ready, answered, clientsPerMachine)
			since, known := silentSince[m]
			switch {
			case !ready || answered > 0:
				delete(silentSince, m)
			case !known:
				silentSince[m] = time.Now()
			case time.Since(since) >= stableTime:
				breaches[m] = fmt.Sprintf("%s says that it is ready and its directory has taken no new connection for %s, while %d clients tried every %s",
					m.name, time.Since(since).Round(time.Second), clientsPerMachine, betweenRounds)
			}
		}
		time.Sleep(betweenRounds)
	}
	after := s.ask(rec, "with the crowd", 3*time.Second)
	rec.note("ordinary requests served: %s before, %s at the end", before, after)
	var out []string
	for _, m := range s.machines {
		if b := breaches[m]; b != "" {
			out = append(out, b)
		}
	}
	return out, nil
}

// crowd connects the clients that do not behave.
func (s *site) crowd() (conns []net.Conn, err error) {
	for _, m := range s.machines {
		text := fmt.Sprintf("GET /resolve?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
			directoryQuery(m), m.directory, bodyLength, strings.Repeat("x", bodyLength-1))
		for range crowdPerMachine {
			c, err := net.Dial("tcp", m.directory)
			if err != nil {
				closeAll(conns)
				return nil, err
			}
			conns = append(conns, c)
			if _, err := io.WriteString(c, text); err != nil {
				closeAll(conns)
				return nil, err
			}
		}
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

func directoryQuery(m *machine) string {
	return url.Values{"name": {host}, "region": {"lowland"}, "zone": {m.zone}}.Encode()
}

// isReady asks a machine whether it is ready, as the platform does.
func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tryDirectory has ordinary clients ask a directory over new connections, and returns how many got addresses.
func (s *site) tryDirectory(m *machine) (answered int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clientsPerMachine {
		wg.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + m.directory + "/resolve?" + directoryQuery(m))
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var a struct{ Addresses []string }
			if json.NewDecoder(resp.Body).Decode(&a) != nil || len(a.Addresses) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
		})
	}
	wg.Wait()
	return answered
}
