//go:build review

package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// class is a kind of request.
type class struct {
	name, method, path string
	deadline           time.Duration
	tokens             string
	// parts are the parts of the prompt before its last one, drawn anew for each request.
	parts func() string
	// perSecond are the requests of all clients together.
	perSecond float64
}

// answer is what a client got.
type answer struct {
	id, class, at string
	sent, done    time.Time
	status        int
	body, seal    string
	err           error
}

// traffic sends requests of clients and keeps their answers.
type traffic struct {
	fleet  *fleet
	nextID atomic.Int64
	mu     sync.Mutex
	all    []answer
}

// firstPart draws one of the 60 parts that prompts of a kind begin with.
func firstPart() string { return fmt.Sprintf("5c1e%04x:40", rand.IntN(60)) }

const clientHost, clientKey = "camps.example", "key-1"

// client has connections of its own and asks the directory for addresses.
type client struct {
	t      *traffic
	zone   string
	http   *http.Client
	addrs  []string
	expiry time.Time
}

func newClient(t *traffic, zone string) *client {
	return &client{t: t, zone: zone, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

// resolve asks up to three directories for addresses, those in the client's zone first.
func (c *client) resolve() {
	if time.Now().Before(c.expiry) {
		return
	}
	order := rand.Perm(len(c.t.fleet.instances))
	for _, i := range order[:min(3, len(order))] {
		in := c.t.fleet.instances[i]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q := url.Values{"name": {clientHost}, "region": {"hu-east"}, "zone": {c.zone}}
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.directory+"/resolve?"+q.Encode(), nil)
		var out struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&out)
			resp.Body.Close()
		}
		cancel()
		if err == nil && len(out.Addresses) > 0 {
			c.addrs, c.expiry = out.Addresses, time.Now().Add(time.Duration(min(out.TTLS, 5)*float64(time.Second)))
			return
		}
	}
}

// send makes one client attempt. Retries of clients would be new requests and are left out.
func (c *client) send(k class) {
	c.resolve()
	if len(c.addrs) == 0 {
		return
	}
	a := answer{id: fmt.Sprintf("%x", 0x1c41d07be2a30000+c.t.nextID.Add(1)), class: k.name, at: c.addrs[rand.IntN(len(c.addrs))], sent: time.Now()}
	// Clients keep their connections to the last byte of an answer or a little beyond their deadline.
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if k.method == http.MethodPost {
		body = bytes.NewReader([]byte("body of " + a.id))
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+a.at+k.path+a.id, body)
	must(err)
	req.GetBody, req.Host = nil, clientHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+clientKey)
	if k.tokens != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", k.tokens)
		req.Header.Set("X-Prompt-Prefix", k.parts()+","+a.id+":4960")
	}
	resp, err := c.http.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.seal = resp.StatusCode, string(raw), resp.Header.Get("X-Response-Seal")
	}
	a.err, a.done = err, time.Now()
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	c.t.all = append(c.t.all, a)
}

// run sends the requests of all classes at their rates until the context ends.
func (t *traffic) run(ctx context.Context, zones []string, classes []class) {
	var wg sync.WaitGroup
	for _, k := range classes {
		for _, zone := range zones {
			wg.Go(func() { t.runClass(ctx, zone, k, k.perSecond/float64(len(zones))) })
		}
	}
	wg.Wait()
}

func (t *traffic) runClass(ctx context.Context, zone string, k class, rate float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	// Several clients take turns, so that a slow answer holds up no other request.
	free := make(chan *client, 64)
	for range cap(free) {
		free <- newClient(t, zone)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		select {
		case c := <-free:
			wg.Go(func() {
				c.send(k)
				free <- c
			})
		default:
		}
	}
}
