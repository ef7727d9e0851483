package peerproxy

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

func encodeEndpoint(e backend.Endpoint) *peerpb.BackendServer {
	return &peerpb.BackendServer{Id: e.Server, Addr: e.Addr, Life: int64(e.Life)}
}

func decodeEndpoint(s *peerpb.BackendServer) backend.Endpoint {
	return backend.Endpoint{Server: s.Id, Addr: s.Addr, Life: backends.Life(s.Life)}
}

func encodeCall(c backend.Call) *peerpb.ProxyCall {
	out := &peerpb.ProxyCall{
		Method: c.Method, Target: []byte(c.Target), Host: c.Host, Headers: encodeHeaders(c.Header), RequestId: []byte(c.RequestID), Customer: c.Customer,
		RemainingUs: c.RemainingTime.Microseconds(), Rank: int32(c.Rank), ResumeAfter: []byte(c.ResumeAfter), Repeatable: c.Repeatable,
	}
	for _, h := range c.Helpers {
		out.Helpers = append(out.Helpers, &peerpb.ProxyHelper{Addr: h.Addr, Ticket: h.Ticket})
	}
	return out
}

func decodeCall(c *peerpb.ProxyCall, to backend.Endpoint) backend.Call {
	out := backend.Call{
		Server: to.Server, Life: to.Life, Addr: to.Addr,
		Method: c.Method, Target: string(c.Target), Host: c.Host, Header: decodeHeaders(c.Headers), RequestID: string(c.RequestId), Customer: c.Customer,
		RemainingTime: time.Duration(c.RemainingUs) * time.Microsecond, Rank: int(c.Rank), ResumeAfter: string(c.ResumeAfter), Repeatable: c.Repeatable,
	}
	for _, h := range c.Helpers {
		out.Helpers = append(out.Helpers, backend.Helper{Addr: h.Addr, Ticket: h.Ticket})
	}
	return out
}

func encodeHead(h backend.Head) *peerpb.ProxyHead {
	return &peerpb.ProxyHead{
		Status: int32(h.Status), Headers: encodeHeaders(h.Header), Sealed: h.Sealed, NotRun: h.NotRun, AtFault: []byte(h.AtFault),
		RetryAfterUs: h.RetryAfter.Microseconds(), Limit: peerpb.ServerLimit(h.Limit.Status), LimitPerSecond: h.Limit.PerSecond,
		Leaving: h.Leaving, Rest: peerpb.ServerRest(h.Rest.Status), RestUs: h.Rest.For.Microseconds(), Answers: h.Answers,
	}
}

func decodeHead(h *peerpb.ProxyHead) backend.Head {
	return backend.Head{
		Status: int(h.Status), Header: decodeHeaders(h.Headers), Sealed: h.Sealed,
		Notice: backend.Notice{
			Answers: h.Answers, NotRun: h.NotRun, AtFault: string(h.AtFault), RetryAfter: time.Duration(h.RetryAfterUs) * time.Microsecond,
			Limit:   backend.RateLimit{Status: backend.LimitStatus(h.Limit), PerSecond: h.LimitPerSecond},
			Leaving: h.Leaving, Rest: backend.Rest{Status: backend.RestStatus(h.Rest), For: time.Duration(h.RestUs) * time.Microsecond},
		},
	}
}

// encodeEnd encodes how a call ended: whole if err is io.EOF. An error of a broken call may wrap that too.
func encodeEnd(err error) *peerpb.ProxyEnd {
	if errors.Is(err, io.EOF) && !errors.Is(err, backend.ErrBroken) {
		return &peerpb.ProxyEnd{Outcome: peerpb.ProxyOutcome_PROXY_COMPLETE}
	}
	end := &peerpb.ProxyEnd{
		Outcome: peerpb.ProxyOutcome_PROXY_BROKEN, Error: strings.ToValidUTF8(err.Error(), "?"), PathLost: errors.Is(err, backend.ErrPathLost),
		HeldBack: errors.Is(err, backend.ErrHeldBack), InvalidAnswer: errors.Is(err, backend.ErrInvalidAnswer),
	}
	if errors.Is(err, backend.ErrNotSent) {
		end.Outcome = peerpb.ProxyOutcome_PROXY_NOT_SENT
	}
	return end
}

func encodeHeaders(h http.Header) (out []*peerpb.Header) {
	for name, values := range h {
		h := &peerpb.Header{Name: name}
		for _, v := range values {
			h.Values = append(h.Values, []byte(v))
		}
		out = append(out, h)
	}
	return out
}

func decodeHeaders(list []*peerpb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		for _, v := range h.Values {
			out[h.Name] = append(out[h.Name], string(v))
		}
	}
	return out
}

func encodeOrder(r backend.Reservation, release bool) *peerpb.ProxyOrderRequest {
	return &peerpb.ProxyOrderRequest{
		Server: encodeEndpoint(r.Endpoint()), Ticket: r.Ticket, Tokens: r.Tokens, HoldUs: r.Hold.Microseconds(), Release: release,
	}
}

func decodeOrder(o *peerpb.ProxyOrderRequest) backend.Reservation {
	to := decodeEndpoint(o.Server)
	return backend.Reservation{
		Server: to.Server, Life: to.Life, Addr: to.Addr, Ticket: o.Ticket, Tokens: o.Tokens, Hold: time.Duration(o.HoldUs) * time.Microsecond,
	}
}
