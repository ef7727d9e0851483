package workerserver

import (
	"net/http"
	"slices"
	"time"
)

// healthPath is the path of health checks.
const healthPath = "/health"

// Arrival is a call as it reached the server, of whatever kind: a request, an order, a health
// check or a call meant for another server.
type Arrival struct {
	ID, Path, Remote string
	// Sender is the instance that sent it, if SenderHeader names it.
	Sender string
	At     time.Time
	// Status is that of the answer, sent at AnsweredAt; zero if its head was not written.
	Status     int
	AnsweredAt time.Time
	// TurnedAway is set if the server turned the request away for rest.
	TurnedAway bool
}

// Arrivals returns all calls that reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// recordArrival records a call whose head has been read and returns its number.
func (s *Server) recordArrival(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{
		ID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Remote: r.RemoteAddr, Sender: r.Header.Get(SenderHeader), At: time.Now(),
	})
	return len(s.arrivals) - 1
}

// recordStatus records the status of the answer to an arrival.
func (s *Server) recordStatus(arrival, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[arrival].Status, s.arrivals[arrival].AnsweredAt = status, time.Now()
}

// recordTurnedAway records that the request of an answer is turned away for rest.
func (s *Server) recordTurnedAway(w http.ResponseWriter) {
	sw, ok := w.(*statusWriter)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[sw.arrival].TurnedAway = true
}

// statusWriter records the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	arrival int
	record  func(status int)
	done    bool
}

// Unwrap lets http.ResponseController reach the writer beneath.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if !w.done {
		w.done = true
		w.record(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(p []byte) (int, error) {
	if !w.done {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// recordRaw records the status of an answer that is written byte by byte.
func recordRaw(w http.ResponseWriter) {
	if sw, ok := w.(*statusWriter); ok {
		sw.record(http.StatusOK)
	}
}
