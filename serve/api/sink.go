package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/result"
)

// sink writes an answer to the caller. Its methods are called by one goroutine
// at a time.
type sink interface {
	// writeToken appends the next piece of the answer.
	writeToken(text string) error
	// discard drops the buffered text before another attempt.
	discard()
	// committed reports whether the response has started.
	committed() bool
	// finish completes the answer.
	finish(u usage) error
	// fail ends the answer with an error.
	fail(e *result.Error) error
}

// envelope builds the OpenAI objects of one request.
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

func (e envelope) fullAnswer(text string, u usage) completionAnswer {
	reason := "length"
	a := e.chunk(text, &reason)
	if e.chat {
		a.Object = "chat.completion"
		a.Choices[0].Delta, a.Choices[0].Message = nil, &message{Role: "assistant", Content: text}
	}
	a.Usage = &u
	return a
}

// bufferedSink collects the answer and sends it as one response.
type bufferedSink struct {
	c   echo.Context
	env envelope
	buf strings.Builder
	// keep stores the answer if the request has a claimed key.
	keep keepFunc
}

func (s *bufferedSink) writeToken(text string) error { s.buf.WriteString(text); return nil }
func (s *bufferedSink) discard()                     { s.buf.Reset() }
func (s *bufferedSink) committed() bool              { return false }

func (s *bufferedSink) finish(u usage) error {
	raw, err := json.Marshal(s.env.fullAnswer(s.buf.String(), u))
	if err != nil {
		return err
	}
	if s.keep != nil {
		s.keep(http.StatusOK, echo.MIMEApplicationJSON, raw)
	}
	return s.c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}

// detachedSink ignores write errors: the answer of a claimed key is completed for
// the caller's next try even if the caller has disconnected.
type detachedSink struct{ sink }

func (s detachedSink) writeToken(text string) error {
	_ = s.sink.writeToken(text)
	return nil
}

func (s detachedSink) finish(u usage) error {
	_ = s.sink.finish(u)
	return nil
}

func (s *bufferedSink) fail(e *result.Error) error { return e }

// sseSink streams the answer as server-sent events.
type sseSink struct {
	c            echo.Context
	env          envelope
	includeUsage bool
	started      bool
	buf          strings.Builder
	keep         keepFunc
}

// maxKeptText limits the text of a streamed answer kept for a claimed key.
const maxKeptText = 1 << 20

func (s *sseSink) sendHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	s.c.Response().WriteHeader(http.StatusOK)
}

func (s *sseSink) writeEvent(raw []byte) error {
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

func (s *sseSink) writeToken(text string) error {
	s.sendHeader()
	if s.keep != nil && s.buf.Len() < maxKeptText {
		s.buf.WriteString(text)
	}
	raw, err := json.Marshal(s.env.chunk(text, nil))
	if err != nil {
		return err
	}
	return s.writeEvent(raw)
}

func (s *sseSink) discard()        { s.buf.Reset() }
func (s *sseSink) committed() bool { return s.started }

func (s *sseSink) finish(u usage) error {
	s.sendHeader()
	reason := "length"
	last := s.env.chunk("", &reason)
	if s.includeUsage {
		last.Usage = &u
	}
	raw, err := json.Marshal(last)
	if err != nil {
		return err
	}
	if s.keep != nil {
		whole, _ := json.Marshal(s.env.fullAnswer(s.buf.String(), u))
		s.keep(http.StatusOK, echo.MIMEApplicationJSON, whole)
	}
	if err := s.writeEvent(raw); err != nil {
		return err
	}
	return s.writeEvent([]byte("[DONE]"))
}

func (s *sseSink) fail(e *result.Error) error {
	if !s.started {
		return e
	}
	return s.writeEvent(sseError(e))
}
