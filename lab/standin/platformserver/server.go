// Package platformserver stands in for the platform: the object API with
// versions, conditional updates and watches, and the instance list, which may lag.
// It can be down, silent or slow, lose the replies to writes, and be restored from
// an older backup of the objects.
package platformserver

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/auburnmoor/auburnmoor/port/instances"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

// Faults are the faults the platform can inject.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Silent never answers new calls, nor the watches that are already waiting.
	Silent bool `json:"silent"`
	// LoseReplies drops the replies to this many writes after they took effect.
	LoseReplies int `json:"lose_replies"`
	// DelayMS delays every call.
	DelayMS int64 `json:"delay_ms"`
}

// Server is the platform on one address.
type Server struct {
	addr string
	lag  time.Duration
	http *http.Server

	mu            sync.Mutex
	objects       map[string]objectapi.Object
	version       uint64
	changed       chan struct{}
	list          map[string]instances.Instance
	listSnapshots []listSnapshot
	faults        Faults
	counts        map[string]uint64
	watching      int
	weights       *rate.Limiter
	era           atomic.Uint64
	backup        backup
	// silences counts how often Silent was set.
	silences atomic.Uint64
}

// backup is a copy of the objects.
type backup struct {
	objects map[string]objectapi.Object
	version uint64
}

// Copy takes a backup of the objects.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{maps.Clone(s.objects), s.version}
}

// Restore restores the backup and begins a new era.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.version = maps.Clone(s.backup.objects), s.backup.version
	s.era.Add(1)
	s.notifyWatchers()
}

type listSnapshot struct {
	at   time.Time
	list []instances.Instance
}

// New returns a stopped platform whose instance list is served lag late.
func New(addr string, lag time.Duration) *Server {
	s := &Server{
		addr: addr, lag: lag, objects: map[string]objectapi.Object{}, changed: make(chan struct{}),
		list: map[string]instances.Instance{}, counts: map[string]uint64{},
		weights: rate.NewLimiter(weightRate, weightBurst),
	}
	s.era.Store(1)
	return s
}

// Start listens.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	s.addr = lis.Addr().String()
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(s.injectFaults)
	e.GET("/objects", s.listObjects)
	e.GET("/objects/:key", s.get)
	e.PUT("/objects/:key", s.put)
	e.DELETE("/objects/:key", s.remove)
	e.GET("/instances", s.listInstances)
	e.PUT("/instances/:name", s.putInstance)
	e.DELETE("/instances/:name", s.removeInstance)
	e.POST("/weights/:model", s.reserveWeights)
	e.POST("/faults", s.setFaults)
	e.GET("/counts", s.getCounts)
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the platform at once.
func (s *Server) Close() { _ = s.http.Close() }

// injectFaults applies the faults to object calls and counts them.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !strings.HasPrefix(c.Path(), "/objects") {
			return next(c)
		}
		s.mu.Lock()
		f := s.faults
		s.counts[c.Request().Method]++
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		c.Response().Before(func() { c.Response().Header().Set(objectapi.HeaderEra, strconv.FormatUint(s.era.Load(), 10)) })
		switch {
		case f.Silent:
			<-c.Request().Context().Done()
			return nil
		case f.Down:
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (s *Server) listObjects(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []objectapi.Object{}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b objectapi.Object) int { return strings.Compare(a.Key, b.Key) })
	return c.JSON(http.StatusOK, out)
}

func (s *Server) get(c echo.Context) error {
	key := keyOf(c)
	if have, err := strconv.ParseUint(c.QueryParam("watch"), 10, 64); err == nil {
		wait, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
		silences := s.silences.Load()
		s.waitForChange(c.Request().Context(), key, have, time.Duration(wait)*time.Millisecond)
		if s.silences.Load() > silences {
			<-c.Request().Context().Done()
			return nil
		}
	}
	s.mu.Lock()
	o, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set(objectapi.HeaderVersion, strconv.FormatUint(o.Version, 10))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, o.Value)
}

// waitForChange blocks a watch until the key's version differs from have, or d has passed.
func (s *Server) waitForChange(ctx context.Context, key string, have uint64, d time.Duration) {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	s.mu.Lock()
	s.watching++
	defer func() { s.watching--; s.mu.Unlock() }()
	for s.objects[key].Version == have {
		changed := s.changed
		s.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		s.mu.Lock()
		if expired {
			return
		}
	}
}

func (s *Server) put(c echo.Context) error {
	expect, err := strconv.ParseUint(c.Request().Header.Get(objectapi.HeaderExpect), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, objectapi.MaxValue+1))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if len(value) > objectapi.MaxValue {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	key := keyOf(c)
	s.mu.Lock()
	old := s.objects[key].Version
	if old != expect {
		s.mu.Unlock()
		c.Response().Header().Set(objectapi.HeaderVersion, strconv.FormatUint(old, 10))
		return c.NoContent(http.StatusConflict)
	}
	s.version++
	s.objects[key] = objectapi.Object{Key: key, Version: s.version, Value: value}
	version := s.version
	lose := s.notifyWatchers()
	s.mu.Unlock()
	if lose {
		return s.dropReply(c)
	}
	c.Response().Header().Set(objectapi.HeaderVersion, strconv.FormatUint(version, 10))
	return c.NoContent(http.StatusOK)
}

// notifyWatchers wakes the watches and reports whether to lose the reply to this write.
func (s *Server) notifyWatchers() bool {
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return true
	}
	return false
}

func (s *Server) dropReply(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

func (s *Server) remove(c echo.Context) error {
	expect, _ := strconv.ParseUint(c.Request().Header.Get(objectapi.HeaderExpect), 10, 64)
	key := keyOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if o.Version != expect {
		return c.NoContent(http.StatusConflict)
	}
	delete(s.objects, key)
	s.notifyWatchers()
	return c.NoContent(http.StatusOK)
}

// SetInstance adds or replaces an entry of the instance list.
func (s *Server) SetInstance(in instances.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[in.Name] = in
	s.recordSnapshot()
}

// RemoveInstance removes an entry from the instance list.
func (s *Server) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list, name)
	s.recordSnapshot()
}

func (s *Server) recordSnapshot() {
	l := listSnapshot{at: time.Now(), list: []instances.Instance{}}
	for _, in := range s.list {
		l.list = append(l.list, in)
	}
	slices.SortFunc(l.list, func(a, b instances.Instance) int { return strings.Compare(a.Name, b.Name) })
	s.listSnapshots = append(s.listSnapshots, l)
}

func (s *Server) listInstances(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	for len(s.listSnapshots) > 1 && time.Since(s.listSnapshots[1].at) >= s.lag {
		s.listSnapshots = s.listSnapshots[1:]
	}
	if len(s.listSnapshots) == 0 {
		return c.JSON(http.StatusOK, []instances.Instance{})
	}
	return c.JSON(http.StatusOK, s.listSnapshots[0].list)
}

func (s *Server) putInstance(c echo.Context) error {
	var in instances.Instance
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	in.Name = c.Param("name")
	s.SetInstance(in)
	return c.NoContent(http.StatusOK)
}

func (s *Server) removeInstance(c echo.Context) error {
	s.RemoveInstance(c.Param("name"))
	return c.NoContent(http.StatusOK)
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.Inject(f)
	return c.NoContent(http.StatusOK)
}

// Inject replaces the faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Silent {
		s.silences.Add(1)
	}
}

// Counts holds the calls to the object API and its waiting watches.
type Counts struct {
	Calls    map[string]uint64 `json:"calls"`
	Watching int               `json:"watching"`
}

// Counts returns the object calls so far, by method, and the watches waiting now.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Counts{Calls: map[string]uint64{}, Watching: s.watching}
	for k, v := range s.counts {
		out.Calls[k] = v
	}
	return out
}

func (s *Server) getCounts(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) }

// Limits of the weight store: loads per second and burst.
const (
	weightRate  = 4
	weightBurst = 4
)

// reserveWeights admits a weight load unless the rate is exceeded.
func (s *Server) reserveWeights(c echo.Context) error {
	if !s.weights.Allow() {
		return c.NoContent(http.StatusTooManyRequests)
	}
	return c.NoContent(http.StatusOK)
}
