// Package storeserver stands in for the users' platform's metadata store:
// objects by kind and name, one revision counter, lists, watches with a bounded
// history, and conditional writes. It can be down, silent or slow, lose the
// replies to writes, drop its history, and be restored from an older backup,
// for single kinds of object, and for those callers that use one of its further
// addresses. It can spoil parts of its answers.
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

// Metadata holds an object's name, revisions and deletion state.
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

// Event is a change to one object.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
	kind    string
}

// Faults are the faults the store can inject.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent"`
	// Kinds are faults of the calls for single kinds of object.
	Kinds map[string]KindFaults `json:"kinds"`
	// Spoil changes a part of the answers to lists and watches of a kind, by kind.
	Spoil map[string]Spoil `json:"spoil"`
	// Mute keeps a watch that has events to report open without ever answering it.
	Mute bool `json:"mute"`
	// Stale answers the lists that may be stale from the last copy.
	Stale bool `json:"stale"`
	// StaleAsPresent does so with the present revision.
	StaleAsPresent bool `json:"staleAsPresent"`
	// LoseReplies drops the replies to this many writes after they took effect.
	LoseReplies int `json:"loseReplies"`
	// DelayMS delays every call.
	DelayMS int64 `json:"delayMs"`
	// ForgetHistory drops the event history once.
	ForgetHistory bool `json:"forgetHistory"`
	// NoEra omits the era from the answers.
	NoEra bool `json:"noEra"`
	// Endless answers reads with bytes without end.
	Endless Endless `json:"endless"`
}

// headerEra carries the era, which grows with each restore, in every answer.
const headerEra = "Store-Era"

// backup is a copy of the store's objects and history.
type backup struct {
	objects  map[string]map[string]Object
	revision int64
	history  []Event
	oldest   int64
}

// historySize bounds the past events that a watch can start from.
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
	doors   []*Door
	counts  map[string]int
	backup  backup

	era   atomic.Uint64
	noEra atomic.Bool
	// endless counts the answers without end that were closed.
	endless atomic.Int64
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
	s.http = &http.Server{Handler: s.handler(func() Faults { return s.faults }), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

// handler returns the interface of the store with the faults that faults returns. It is called with s.mu held.
func (s *Server) handler(faults func() Faults) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/faults", s.setFaults)
	e.GET("/counts", s.getCounts)
	o := e.Group("/objects", func(next echo.HandlerFunc) echo.HandlerFunc { return s.injectFaults(faults, next) })
	o.GET("/:kind", s.list)
	o.GET("/:kind/:name", s.get)
	o.POST("/:kind", s.create)
	o.PUT("/:kind/:name", s.replace)
	o.DELETE("/:kind/:name", s.remove)
	return e
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the store at once.
func (s *Server) Close() {
	_ = s.http.Close()
	for _, d := range s.doors {
		_ = d.http.Close()
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.noEra.Store(f.NoEra)
	if f.ForgetHistory {
		s.history, s.oldest = nil, s.revision+1
		s.notifyWatchers()
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

func (s *Server) injectFaults(faults func() Faults, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		f := faults()
		s.counts[c.Request().Method+" "+c.Param("kind")]++
		s.mu.Unlock()
		c.Response().Before(func() { s.setEraHeader(c.Response().Header()) })
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		switch {
		case f.Endless != "" && c.Request().Method == http.MethodGet:
			return s.answerEndless(c, f.Endless)
		case f.Silent:
			<-c.Request().Context().Done()
			return nil
		case f.Down:
			return c.NoContent(http.StatusServiceUnavailable)
		}
		c.Set(faultsKey, faults)
		return f.Kinds[c.Param("kind")].apply(c, next)
	}
}

// setEraHeader sets the era header unless the handler set it together with the content.
func (s *Server) setEraHeader(h http.Header) {
	if h.Get(headerEra) == "" && !s.noEra.Load() {
		h.Set(headerEra, strconv.FormatUint(s.era.Load(), 10))
	}
}

// Copy takes a backup.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{objects: cloneObjects(s.objects), revision: s.revision, history: slices.Clone(s.history), oldest: s.oldest}
}

// Restore restores the backup and begins a new era. Later writes are lost, and their
// revisions are assigned again.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	s.objects, s.revision, s.history, s.oldest = cloneObjects(b.objects), b.revision, slices.Clone(b.history), b.oldest
	s.era.Add(1)
	s.notifyWatchers()
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// Calls counts the calls for a kind, failed ones included.
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

// pageSize is small so that tests with few objects read several pages.
const pageSize = 5

func (s *Server) list(c echo.Context) error {
	kind := c.Param("kind")
	if from, err := strconv.ParseInt(c.QueryParam("watch"), 10, 64); err == nil {
		return s.watch(c, kind, from)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, out := s.objects[kind], page{Items: []Object{}, StoreRevision: s.revision}
	if stale := s.faults.Stale || s.faults.StaleAsPresent; stale && c.QueryParam("allowStale") != "" {
		objects = s.backup.objects[kind]
		if !s.faults.StaleAsPresent {
			out.StoreRevision = s.backup.revision
		}
	}
	for name, o := range objects {
		if name > c.QueryParam("after") {
			out.Items = append(out.Items, o)
		}
	}
	slices.SortFunc(out.Items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(out.Items) > pageSize {
		out.Items, out.More = out.Items[:pageSize], true
	}
	return spoilOf(c).answerList(c, out)
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
		out, gone := s.eventsSince(kind, from)
		s.setEraHeader(c.Response().Header())
		changed, mute, spoil := s.changed, s.faults.Mute, spoilOf(c)
		s.mu.Unlock()
		if mute && len(out.Events) > 0 {
			<-c.Request().Context().Done()
			return nil
		}
		if gone {
			return c.NoContent(http.StatusGone)
		}
		if len(out.Events) > 0 {
			return spoil.answerWatch(c, out)
		}
		c.Response().Header().Del(headerEra)
		select {
		case <-changed:
		case <-timeout.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			if out, gone = s.eventsSince(kind, from); gone {
				return c.NoContent(http.StatusGone)
			}
			return spoilOf(c).answerWatch(c, out)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Server) eventsSince(kind string, from int64) (out events, gone bool) {
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
	return s.reply(c, s.putObject(c.Param("kind"), o))
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
		return s.reply(c, old)
	}
	old.Spec = o.Spec
	return s.reply(c, s.putObject(kind, old))
}

func (s *Server) remove(c echo.Context) error {
	kind, name := c.Param("kind"), c.Param("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	s.deleteObject(kind, o)
	return s.reply(c, o)
}

// Put writes an object without an HTTP call; no fault applies.
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
	s.putObject(kind, o)
	return nil
}

// Delete removes an object without an HTTP call; no fault applies.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.deleteObject(kind, o)
	}
}

func (s *Server) putObject(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(Event{Object: o, kind: kind})
	return o
}

func (s *Server) deleteObject(kind string, o Object) {
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
	s.notifyWatchers()
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply sends the result of a write or, under LoseReplies, aborts the connection.
// The caller holds s.mu.
func (s *Server) reply(c echo.Context, o Object) error {
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, o)
}
