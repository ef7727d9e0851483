package workerserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// OrderFault is a way to treat an order wrongly.
type OrderFault string

// The faults of orders, each for one order. The caller gets no answer.
const (
	// OrderUnanswered carries the order out at once.
	OrderUnanswered OrderFault = "unanswered"
	// OrderLate carries the order out after orderDelay.
	OrderLate OrderFault = "late"
	// OrderDropped never carries it out.
	OrderDropped OrderFault = "dropped"
)

// orderDelay is how late a late order is: after the request that it was for.
const orderDelay = 800 * time.Millisecond

// reservation is memory that is set aside.
type reservation struct {
	tokens int64
	until  time.Time
}

type orderBody struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	HoldMs int64  `json:"holdMs"`
}

// InjectOrder treats the next orders wrongly, one each.
func (s *Server) InjectOrder(f ...OrderFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, f...)
}

// Reserved is the memory that is set aside now.
func (s *Server) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved("")
}

// reserved is the memory set aside under other names than id; s.mu is held.
func (s *Server) reserved(id string) (sum int64) {
	for name, r := range s.held {
		if time.Now().After(r.until) && !s.cfg.KeepReserved {
			delete(s.held, name)
		} else if name != id {
			sum += r.tokens
		}
	}
	return sum
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch next(&s.mu, &s.orders) {
	case OrderUnanswered:
		s.carryOut(o)
		panic(http.ErrAbortHandler)
	case OrderLate:
		time.AfterFunc(orderDelay, func() { s.carryOut(o) })
		panic(http.ErrAbortHandler)
	case OrderDropped:
		panic(http.ErrAbortHandler)
	}
	status, free := s.carryOut(o)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"free":%d}`, free)
}

// carryOut does what an order says and returns the status of its answer.
func (s *Server) carryOut(o orderBody) (status int, free int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.reserved(o.ID)
	switch {
	case o.Op == "release":
		if !s.cfg.KeepReserved {
			delete(s.held, o.ID)
		}
	case o.Op != "reserve" || o.Tokens > s.cfg.Memory:
		return http.StatusBadRequest, 0
	case others+o.Tokens > s.cfg.Memory:
		return http.StatusConflict, 0
	default:
		s.held[o.ID] = reservation{tokens: o.Tokens, until: time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)}
	}
	return http.StatusOK, s.cfg.Memory - others - s.held[o.ID].tokens
}
