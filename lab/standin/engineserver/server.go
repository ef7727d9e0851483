// Package engineserver serves the HTTP protocol of package port/engine on top
// of the emulated engine core and injects faults.
package engineserver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/lab/standin/answer"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

// resumeWindow is how long an ended stream can still be resumed.
const resumeWindow = 30 * time.Second

// Server is one engine on one address.
type Server struct {
	cfg   enginecore.Config
	addr  string
	start time.Time
	http  *http.Server
	wake  chan struct{}
	stop  context.CancelFunc

	mu         sync.Mutex
	core       *enginecore.Core
	streams    map[string]*stream
	faults     faults
	runs       uint64
	lastExpiry time.Time
}

// stream buffers the generated chunks for the reader and for resumption.
type stream struct {
	meta      engine.Stream
	hash      uint64
	hashState []byte
	tokens    int64
	chunks    []engine.Chunk
	changed   chan struct{}
	ended     bool
	endedAt   time.Time
}

// New returns a stopped engine.
func New(addr string, cfg enginecore.Config) *Server {
	return &Server{cfg: cfg, addr: addr, start: time.Now(), core: enginecore.New(cfg), streams: map[string]*stream{}, wake: make(chan struct{}, 1)}
}

// Start listens and starts the engine.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "engine %s", s.cfg.Name)
	}
	s.addr = lis.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(s.closeIfDead)
	e.POST("/v1/streams", s.run)
	e.POST("/v1/streams/:id/resume", s.resume)
	e.POST("/v1/streams/:id/cancel", s.cancel)
	e.GET("/v1/kv/:id", s.export)
	e.GET("/v1/load", s.load)
	e.GET("/v1/cache-events", s.events)
	e.POST("/v1/orders", s.order)
	e.POST("/v1/faults", s.setFault)
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(lis) }()
	go s.loop(ctx)
	return nil
}

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the engine at once.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close()
}

// Runs returns the number of streams begun.
func (s *Server) Runs() uint64 { s.mu.Lock(); defer s.mu.Unlock(); return s.runs }

// Held returns the KV memory in use and the number of streams in the core.
func (s *Server) Held() (tokens int64, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Held(), s.core.Streams()
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// loop completes each step when it ends.
func (s *Server) loop(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		s.mu.Lock()
		s.deliver(s.core.Advance(s.now()))
		if at, ok := s.core.Next(); ok {
			wait = at - s.now()
		}
		s.mu.Unlock()
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
	}
}

func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Server) deliver(outs []enginecore.Output) {
	for _, o := range outs {
		st := s.streams[o.ID]
		if st == nil {
			continue
		}
		ch := engine.Chunk{ID: o.ID, Attempt: o.Attempt, Seq: o.Seq}
		switch o.Kind {
		case enginecore.Token:
			ch.Text, ch.Cached = answer.Token(st.hash, o.Seq), o.Cached
		case enginecore.End:
			ch.End, ch.Count, ch.Prompt, ch.Cached = true, o.Seq, st.tokens, o.Cached
		case enginecore.Held:
			ch.Held, ch.End = true, true
		}
		st.add(ch)
	}
}

func (st *stream) add(ch engine.Chunk) {
	st.chunks = append(st.chunks, ch)
	if ch.End {
		st.ended, st.endedAt = true, time.Now()
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (s *Server) run(c echo.Context) error {
	var meta engine.Stream
	if err := json.Unmarshal([]byte(c.Request().Header.Get(engine.HeaderStream)), &meta); err != nil {
		return c.String(http.StatusBadRequest, "bad stream header")
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.String(http.StatusBadRequest, "body broke off")
	}
	st, req, err := s.prepare(c.Request().Context(), meta, string(body))
	if err != nil {
		return c.String(http.StatusBadGateway, err.Error())
	}
	s.mu.Lock()
	s.removeExpired()
	if err := s.core.Submit(s.now(), req); err != nil {
		s.mu.Unlock()
		return c.String(http.StatusConflict, err.Error())
	}
	s.runs++
	s.streams[meta.ID] = st
	s.mu.Unlock()
	s.wakeLoop()
	return s.writeChunks(c, st, 0)
}

// prepare computes the core's request from the prompt. The exported hash state of
// the preceding segments, which stands in for their KV cache, is continued.
func (s *Server) prepare(ctx context.Context, meta engine.Stream, prompt string) (*stream, enginecore.Request, error) {
	d := xxhash.New()
	imported := int64(0)
	for _, h := range meta.Import {
		imported += h.Tokens
	}
	if n := len(meta.Import); n > 0 {
		state, err := fetchKV(ctx, meta.Import[n-1])
		if err != nil {
			return nil, enginecore.Request{}, errors.Wrap(err, "importing KV cache")
		}
		if err := d.UnmarshalBinary(state); err != nil {
			return nil, enginecore.Request{}, err
		}
	}
	_, _ = d.WriteString(prompt)
	state, err := d.MarshalBinary()
	if err != nil {
		return nil, enginecore.Request{}, err
	}
	tokens := int64(prefix.EstimateTokens(len(prompt)))
	st := &stream{meta: meta, hash: d.Sum64(), hashState: state, tokens: tokens, changed: make(chan struct{})}
	req := enginecore.Request{
		ID: meta.ID, Attempt: meta.Attempt, PromptTokens: tokens, MaxTokens: meta.MaxTokens,
		Priority: meta.Priority, ImportTokens: imported, Hold: meta.Hold,
	}
	if !meta.Hold && imported == 0 {
		req.Chain = prefix.Chain(prompt)
	}
	if meta.Hold {
		req.MaxTokens = 0
	}
	return st, req, nil
}

func fetchKV(ctx context.Context, h engine.Handle) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Engine+"/v1/kv/"+escape(h.ID), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("engine %s answered %d", h.Engine, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func (s *Server) export(c echo.Context) error {
	s.mu.Lock()
	st := s.streams[unescape(c.Param("id"))]
	s.mu.Unlock()
	if st == nil || !st.meta.Hold {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, st.hashState)
}

func (s *Server) resume(c echo.Context) error {
	from, _ := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	s.mu.Lock()
	st := s.streams[unescape(c.Param("id"))]
	s.mu.Unlock()
	if st == nil {
		return c.String(http.StatusNotFound, "no such stream")
	}
	return s.writeChunks(c, st, from)
}

// writeChunks writes a stream's chunks, starting with number from, until its end.
func (s *Server) writeChunks(c echo.Context, st *stream, from int64) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	sent := 0
	for {
		s.mu.Lock()
		newChunks, changed, ended := st.chunks[sent:], st.changed, st.ended
		s.mu.Unlock()
		for _, ch := range newChunks {
			sent++
			if ch.Seq < from && !ch.End {
				continue
			}
			if stop := s.applyChunkFaults(&ch); stop {
				return errors.New("stream dropped by injected fault")
			}
			if err := enc.Encode(ch); err != nil {
				return nil
			}
		}
		w.Flush()
		if ended && len(newChunks) == 0 || len(newChunks) > 0 && newChunks[len(newChunks)-1].End {
			return nil
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Server) cancel(c echo.Context) error {
	id := unescape(c.Param("id"))
	s.mu.Lock()
	s.core.Cancel(s.now(), id)
	if st := s.streams[id]; st != nil && !st.ended {
		st.ended, st.endedAt = true, time.Now()
		close(st.changed)
		st.changed = make(chan struct{})
	}
	delete(s.streams, id)
	s.mu.Unlock()
	s.wakeLoop()
	return c.NoContent(http.StatusOK)
}

// removeExpired removes streams that ended more than resumeWindow ago; held ones stay.
func (s *Server) removeExpired() {
	if time.Since(s.lastExpiry) < time.Second {
		return
	}
	s.lastExpiry = time.Now()
	for id, st := range s.streams {
		if st.ended && !st.meta.Hold && time.Since(st.endedAt) > resumeWindow {
			delete(s.streams, id)
		}
	}
}

func (s *Server) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.core.LaggedReport(s.now()))
}

func (s *Server) events(c echo.Context) error {
	since, _ := strconv.ParseUint(c.QueryParam("since"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.core.Events(s.now(), since))
}

func (s *Server) order(c echo.Context) error {
	var o engine.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.core.Order(s.now(), o); err != nil {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	return c.NoContent(http.StatusOK)
}
