package workerserver

import "net/http"

// rest is how the server turns requests away and asks their senders for rest.
type rest struct {
	// retryAfter is the value of the header as it is sent; none if empty.
	retryAfter string
	share      float64
	// due is the sum of the shares of the requests that were not turned away.
	due float64
	// left is how many requests are still turned away; negative for no bound.
	left int
	// sender, if set, is the only sender whose requests are turned away.
	sender string
	health bool
}

// RestOption narrows down which requests a resting server turns away.
type RestOption func(*rest)

// RestShare has the given share of the requests turned away.
func RestShare(share float64) RestOption { return func(r *rest) { r.share = share } }

// RestTimes has that many requests turned away and the others run.
func RestTimes(n int) RestOption { return func(r *rest) { r.left = n } }

// RestSender has the requests of one sender turned away, see SenderHeader.
func RestSender(name string) RestOption { return func(r *rest) { r.sender = name } }

// RestHealth has health checks turned away too.
func RestHealth() RestOption { return func(r *rest) { r.health = true } }

// SenderHeader names the instance that sends a request. Instances do not set it; the test that
// tells them apart does.
const SenderHeader = "X-Test-Sender"

// SetRest has requests turned away from now on until EndRest: 503, not run, and the value, which may be any
// text, as the time of rest. Without options all requests are turned away.
func (s *Server) SetRest(retryAfter string, options ...RestOption) {
	r := &rest{retryAfter: retryAfter, share: 1, left: -1}
	for _, o := range options {
		o(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = r
}

// EndRest has no more requests turned away.
func (s *Server) EndRest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = nil
}

// turnAway answers a request that the server turns away and reports whether it did.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request) bool {
	retryAfter, away := s.asksForRest(r)
	if !away {
		return false
	}
	s.recordTurnedAway(w)
	w.Header().Set("X-Not-Run", "1")
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// asksForRest decides whether a request is turned away.
func (s *Server) asksForRest(r *http.Request) (retryAfter string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest == nil || !s.rest.applies(r) {
		return "", false
	}
	return s.rest.retryAfter, s.rest.count()
}

// applies reports whether the rest is asked of the sender of a request.
func (r *rest) applies(req *http.Request) bool {
	if req.URL.Path == healthPath && !r.health {
		return false
	}
	return r.sender == "" || r.sender == req.Header.Get(SenderHeader)
}

// count counts a request and reports whether it is among those turned away.
func (r *rest) count() bool {
	if r.left == 0 {
		return false
	}
	r.due += r.share
	if r.due < 1 {
		return false
	}
	r.due--
	r.left = max(r.left-1, -1)
	return true
}
