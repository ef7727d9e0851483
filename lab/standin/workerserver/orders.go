package workerserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// OrderFault is a way in which the server mishandles an order.
type OrderFault string

// The order faults. Each applies to one order, whose caller gets no answer.
const (
	// OrderUnanswered executes the order at once.
	OrderUnanswered OrderFault = "unanswered"
	// OrderLate executes the order after orderDelay.
	OrderLate OrderFault = "late"
	// OrderDropped never executes the order.
	OrderDropped OrderFault = "dropped"
	// OrderEndless executes the order and sends a head without an end.
	OrderEndless OrderFault = "endless"
)

// orderDelay is how long OrderLate delays an order: long enough that the request it
// was sent for has ended.
const orderDelay = 800 * time.Millisecond

// reservation is KV memory set aside for one order ID until it expires.
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

// InjectOrder applies each fault to one of the next orders.
func (s *Server) InjectOrder(f ...OrderFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, f...)
}

// Reserved returns the KV memory that is reserved now, in tokens.
func (s *Server) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservedByOthers("")
}

// reservedByOthers returns the tokens reserved under IDs other than id and drops
// expired reservations. The caller holds s.mu.
func (s *Server) reservedByOthers(id string) (sum int64) {
	for other, r := range s.reservations {
		if time.Now().After(r.until) && !s.cfg.KeepReserved {
			delete(s.reservations, other)
		} else if other != id {
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
	switch popFault(&s.mu, &s.orders) {
	case OrderUnanswered:
		s.execute(o)
		panic(http.ErrAbortHandler)
	case OrderLate:
		time.AfterFunc(orderDelay, func() { s.execute(o) })
		panic(http.ErrAbortHandler)
	case OrderDropped:
		panic(http.ErrAbortHandler)
	case OrderEndless:
		s.execute(o)
		s.writeEndless(w, "", EndlessHead)
		return
	}
	status, free := s.execute(o)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"free":%d}`, free)
}

// execute executes an order and returns the HTTP status and the free KV memory.
func (s *Server) execute(o orderBody) (status int, free int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.reservedByOthers(o.ID)
	switch {
	case o.Op == "release":
		if !s.cfg.KeepReserved {
			delete(s.reservations, o.ID)
		}
	case o.Op != "reserve" || o.Tokens > s.cfg.Memory:
		return http.StatusBadRequest, 0
	case others+o.Tokens > s.cfg.Memory:
		return http.StatusConflict, 0
	default:
		s.reservations[o.ID] = reservation{tokens: o.Tokens, until: time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)}
	}
	return http.StatusOK, s.cfg.Memory - others - s.reservations[o.ID].tokens
}
