package workerserver

import (
	"io"
	"net/http"
)

// leavingHeader says in an answer that the server leaves.
const leavingHeader = "Server-Leaving"

// SetLeaving has every answer from now on say that the server leaves, or no answer any more. The
// server goes on serving, and the store does not hear of it.
func (s *Server) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// setNotices sets the headers in which the server speaks of itself.
func (s *Server) setNotices(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limits) > 0 {
		h[limitHeader] = s.limits
	}
	if s.leaving {
		h.Set(leavingHeader, "1")
	}
}

// rawNotices returns the lines of these headers in answers that are written byte by byte.
func (s *Server) rawNotices() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return leavingHeader + ": 1\r\n"
	}
	return ""
}

// answerNotFound answers 404 after the request ran.
func (s *Server) answerNotFound(w http.ResponseWriter, id string) {
	s.setSeal(w, id)
	w.WriteHeader(http.StatusNotFound)
	_, _ = io.WriteString(w, "no such thing")
}

// answerMisdirected answers as another server at the address would.
func (s *Server) answerMisdirected(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", s.cfg.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// health answers a health check: 503 if the server leaves or asks for rest.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.cfg.ID)
	if s.turnAway(w, r) {
		return
	}
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
