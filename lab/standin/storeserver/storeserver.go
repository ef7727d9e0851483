// Package storeserver stands in for the users' platform's metadata store:
// objects by kind and name, one revision counter, lists, watches with a bounded
// history, and conditional writes. It can be down, silent or slow, lose answers
// after a write, drop its history, and come back from an older copy of itself.
package storeserver

import (
	"encoding/json"
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
)

// Metadata is kept beside an object's content.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Event is a change of one object.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
	kind    string
}

// Faults are what the store can suffer.
type Faults struct {
	// Down answers 503.
	Down bool `json:"down"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent"`
	// Mute has watches that meet a change hear nothing of it, and never end.
	Mute bool `json:"mute"`
	// LoseReplies drops the answers of the next writes after they took effect.
	LoseReplies int `json:"loseReplies"`
	// DelayMS slows every call.
	DelayMS int64 `json:"delayMs"`
	// ForgetHistory drops what happened so far, once.
	ForgetHistory bool `json:"forgetHistory"`
	// NoEra leaves the era out of the answers.
	NoEra bool `json:"noEra"`
}

// hdrEra tells in each answer how often the store came back from a copy.
const hdrEra = "Store-Era"

// backup is a copy of the content.
type backup struct {
	objects  map[string]map[string]Object
	revision int64
	history  []Event
	oldest   int64
}

// historySize bounds the events that a watch can go back to.
const historySize = 4096

// Server is the store on one address.
type Server struct {
	addr string
	http *http.Server

	mu       sync.Mutex
	objects  map[string]map[string]Object
	revision int64
	history  []Event
	// oldest is the revision from which the history is complete.
	oldest  int64
	changed chan struct{}
	faults  Faults
	counts  map[string]int
	backup  backup

	era   atomic.Uint64
	noEra atomic.Bool
}

// New returns a stopped store.
func New(addr string) *Server {
	s := &Server{addr: addr, objects: map[string]map[string]Object{}, changed: make(chan struct{}), counts: map[string]int{}}
	s.era.Store(1)
	return s
}

// Start listens.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	s.addr = lis.Addr().String()
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/faults", s.setFaults)
	e.GET("/counts", s.getCounts)
	o := e.Group("/objects", s.suffer)
	o.GET("/:kind", s.list)
	o.GET("/:kind/:name", s.get)
	o.POST("/:kind", s.create)
	o.PUT("/:kind/:name", s.replace)
	o.DELETE("/:kind/:name", s.remove)
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the store at once.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.noEra.Store(f.NoEra)
	if f.ForgetHistory {
		s.history, s.oldest = nil, s.revision+1
		s.announce()
	}
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getCounts(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.counts)
}

func (s *Server) suffer(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		f := s.faults
		s.counts[c.Request().Method+" "+c.Param("kind")]++
		s.mu.Unlock()
		c.Response().Before(func() { s.tellEra(c.Response().Header()) })
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
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

// tellEra names the era unless that of the answer's content is named already.
func (s *Server) tellEra(h http.Header) {
	if h.Get(hdrEra) == "" && !s.noEra.Load() {
		h.Set(hdrEra, strconv.FormatUint(s.era.Load(), 10))
	}
}

// Copy keeps a copy of the content.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{objects: clone(s.objects), revision: s.revision, history: slices.Clone(s.history), oldest: s.oldest}
}

// Restore brings the copy back and begins a new era. What was written since is gone, and
// its revisions are given out again.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	s.objects, s.revision, s.history, s.oldest = clone(b.objects), b.revision, slices.Clone(b.history), b.oldest
	s.era.Add(1)
	s.announce()
}

func clone(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// Calls counts the calls to a kind that the store answered or turned away.
func (s *Server) Calls(kind string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, count := range s.counts {
		if strings.HasSuffix(name, " "+kind) {
			n += count
		}
	}
	return n
}

type page struct {
	Items         []Object `json:"items"`
	More          bool     `json:"more"`
	StoreRevision int64    `json:"storeRevision"`
}

// pageSize is small, so that tests with few objects read several pages.
const pageSize = 5

func (s *Server) list(c echo.Context) error {
	kind := c.Param("kind")
	if from, err := strconv.ParseInt(c.QueryParam("watch"), 10, 64); err == nil {
		return s.watch(c, kind, from)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := page{Items: []Object{}, StoreRevision: s.revision}
	for name, o := range s.objects[kind] {
		if name > c.QueryParam("after") {
			out.Items = append(out.Items, o)
		}
	}
	slices.SortFunc(out.Items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(out.Items) > pageSize {
		out.Items, out.More = out.Items[:pageSize], true
	}
	return c.JSON(http.StatusOK, out)
}

type events struct {
	Events        []Event `json:"events"`
	StoreRevision int64   `json:"storeRevision"`
}

func (s *Server) watch(c echo.Context, kind string, from int64) error {
	waitMS, err := strconv.ParseInt(c.QueryParam("waitMs"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		out, gone := s.since(kind, from)
		s.tellEra(c.Response().Header())
		changed, mute := s.changed, s.faults.Mute
		s.mu.Unlock()
		if mute && len(out.Events) > 0 {
			<-c.Request().Context().Done()
			return nil
		}
		if gone {
			return c.NoContent(http.StatusGone)
		}
		if len(out.Events) > 0 {
			return c.JSON(http.StatusOK, out)
		}
		c.Response().Header().Del(hdrEra)
		select {
		case <-changed:
		case <-timeout.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			if out, gone = s.since(kind, from); gone {
				return c.NoContent(http.StatusGone)
			}
			return c.JSON(http.StatusOK, out)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Server) since(kind string, from int64) (out events, gone bool) {
	if from+1 < s.oldest || from > s.revision {
		return out, true
	}
	out = events{Events: []Event{}, StoreRevision: s.revision}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > from {
			out.Events = append(out.Events, e)
		}
	}
	return out, false
}

func (s *Server) get(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[c.Param("kind")][c.Param("name")]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, o)
}

func (s *Server) create(c echo.Context) error {
	var o Object
	if err := c.Bind(&o); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[c.Param("kind")][o.Metadata.Name]; ok {
		return c.JSON(http.StatusConflict, old)
	}
	o.Metadata.CreateRev = s.revision + 1
	return s.answer(c, s.store(c.Param("kind"), o))
}

func (s *Server) replace(c echo.Context) error {
	kind, name := c.Param("kind"), c.Param("name")
	var o Object
	if err := c.Bind(&o); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision {
		return c.JSON(http.StatusConflict, old)
	}
	if string(old.Spec) == string(o.Spec) {
		return s.answer(c, old)
	}
	old.Spec = o.Spec
	return s.answer(c, s.store(kind, old))
}

func (s *Server) remove(c echo.Context) error {
	kind, name := c.Param("kind"), c.Param("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	s.drop(kind, o)
	return s.answer(c, o)
}

// Put writes an object without a call.
func (s *Server) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = Object{Metadata: Metadata{Name: name, CreateRev: s.revision + 1}}
	}
	o.Spec = raw
	s.store(kind, o)
	return nil
}

// Delete removes an object without a call.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.drop(kind, o)
	}
}

func (s *Server) store(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(Event{Object: o, kind: kind})
	return o
}

func (s *Server) drop(kind string, o Object) {
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], o.Metadata.Name)
	s.record(Event{Deleted: true, Object: o, kind: kind})
}

func (s *Server) record(e Event) {
	s.history = append(s.history, e)
	if len(s.history) > historySize {
		s.history = s.history[1:]
		s.oldest = s.history[0].Object.Metadata.Revision
	}
	s.announce()
}

func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer sends the outcome of a write, or breaks the connection off instead.
func (s *Server) answer(c echo.Context, o Object) error {
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, o)
}
