package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/result"
)

// sink shows an answer to the caller. Its methods are called by one goroutine
// at a time.
type sink interface {
	// token takes the next piece of the answer.
	token(text string) error
	// restart drops what was taken, before another attempt.
	restart()
	// shown reports whether the caller has seen anything.
	shown() bool
	// finish completes the answer.
	finish(u usage) error
	// fail ends the answer with an error.
	fail(e *result.Error) error
}

// envelope renders OpenAI objects for one request.
type envelope struct {
	id      string
	model   string
	chat    bool
	created int64
}

func newEnvelope(id, model string, chat bool) envelope {
	return envelope{id: id, model: model, chat: chat, created: time.Now().Unix()}
}

func (e envelope) chunk(text string, finish *string) completionAnswer {
	a := completionAnswer{ID: e.id, Object: "text_completion", Created: e.created, Model: e.model}
	ch := choice{FinishReason: finish}
	if e.chat {
		a.Object = "chat.completion.chunk"
		ch.Delta = &message{Content: text}
	} else {
		ch.Text = &text
	}
	a.Choices = []choice{ch}
	return a
}

func (e envelope) whole(text string, u usage) completionAnswer {
	reason := "length"
	a := e.chunk(text, &reason)
	if e.chat {
		a.Object = "chat.completion"
		a.Choices[0].Delta, a.Choices[0].Message = nil, &message{Role: "assistant", Content: text}
	}
	a.Usage = &u
	return a
}

// wholeSink collects the answer and shows it at once.
type wholeSink struct {
	c   echo.Context
	env envelope
	buf strings.Builder
	// keep receives the answer for the record of a claimed key.
	keep keepFunc
}

func (s *wholeSink) token(text string) error { s.buf.WriteString(text); return nil }
func (s *wholeSink) restart()                { s.buf.Reset() }
func (s *wholeSink) shown() bool             { return false }

func (s *wholeSink) finish(u usage) error {
	raw, err := json.Marshal(s.env.whole(s.buf.String(), u))
	if err != nil {
		return err
	}
	if s.keep != nil {
		s.keep(http.StatusOK, echo.MIMEApplicationJSON, raw)
	}
	return s.c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}

// detachedSink goes on when the caller is gone: the answer of a claimed key is
// kept for the caller's next try.
type detachedSink struct{ sink }

func (s detachedSink) token(text string) error {
	_ = s.sink.token(text)
	return nil
}

func (s detachedSink) finish(u usage) error {
	_ = s.sink.finish(u)
	return nil
}

func (s *wholeSink) fail(e *result.Error) error { return e }

// sseSink streams the answer as server-sent events.
type sseSink struct {
	c       echo.Context
	env     envelope
	usage   bool
	started bool
	buf     strings.Builder
	keep    keepFunc
}

// maxKept bounds the part of a streamed answer kept for a claimed key.
const maxKept = 1 << 20

func (s *sseSink) begin() {
	if s.started {
		return
	}
	s.started = true
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	s.c.Response().WriteHeader(http.StatusOK)
}

func (s *sseSink) data(raw []byte) error {
	w := s.c.Response()
	line := make([]byte, 0, len(raw)+8)
	line = append(line, "data: "...)
	line = append(line, raw...)
	line = append(line, "\n\n"...)
	if _, err := w.Write(line); err != nil {
		return err
	}
	w.Flush()
	return nil
}

func (s *sseSink) token(text string) error {
	s.begin()
	if s.keep != nil && s.buf.Len() < maxKept {
		s.buf.WriteString(text)
	}
	raw, err := json.Marshal(s.env.chunk(text, nil))
	if err != nil {
		return err
	}
	return s.data(raw)
}

func (s *sseSink) restart()    { s.buf.Reset() }
func (s *sseSink) shown() bool { return s.started }

func (s *sseSink) finish(u usage) error {
	s.begin()
	reason := "length"
	last := s.env.chunk("", &reason)
	if s.usage {
		last.Usage = &u
	}
	raw, err := json.Marshal(last)
	if err != nil {
		return err
	}
	if s.keep != nil {
		whole, _ := json.Marshal(s.env.whole(s.buf.String(), u))
		s.keep(http.StatusOK, echo.MIMEApplicationJSON, whole)
	}
	if err := s.data(raw); err != nil {
		return err
	}
	return s.data([]byte("[DONE]"))
}

func (s *sseSink) fail(e *result.Error) error {
	if !s.started {
		return e
	}
	return s.data(sseError(e))
}
