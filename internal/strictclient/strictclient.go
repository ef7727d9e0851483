// Package strictclient makes an HTTP client of the standard library take for answers only what HTTP allows, as far as
// the parsed answer shows, and for the end of a body without a length only an end in order after all of the request was
// written.
package strictclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/auburnmoor/auburnmoor/internal/connend"
)

// ErrInvalidAnswer marks errors of answers that are none.
var ErrInvalidAnswer = errors.New("the server sent what is no answer")

// New returns a transport that connects with the dialer. The transport must not be given connections otherwise.
func New(base *http.Transport, dialer *net.Dialer) http.RoundTripper {
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return connend.New(c), nil
	}
	return transport{base}
}

// Limits of the default client, as the standard library has them.
const defaultDialTimeout, defaultKeepAlive = 30 * time.Second, 30 * time.Second

// Default is a client like http.DefaultClient.
var Default = &http.Client{Transport: New(http.DefaultTransport.(*http.Transport).Clone(), &net.Dialer{Timeout: defaultDialTimeout, KeepAlive: defaultKeepAlive})}

// maxInterim is the number of interim answers to one request, as the standard library bounds them if nobody hears of them.
const maxInterim = 5

type transport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := new(writing)
	interim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { w.begin(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) { w.end(i.Err) },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return errors.Mark(errors.New("too many interim answers"), ErrInvalidAnswer)
			}
			return check(status, minInterim, http.Header(h))
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		w.end(err)
		return nil, err
	}
	if err := check(resp.StatusCode, minFinal, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// writing is the writing of a request on the connection that it has, which may be a second one.
type writing struct {
	mu   sync.Mutex
	done func(error)
}

func (w *writing) begin(c net.Conn) {
	w.end(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if conn, ok := c.(*connend.Conn); ok {
		w.done = conn.BeginWriting()
	}
}

func (w *writing) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done != nil {
		w.done(err)
		w.done = nil
	}
}

// The ranges of interim and final statuses (RFC 9110, 15).
const minInterim, minFinal, maxStatus = 100, 200, 599

// check reports what of an answer HTTP does not allow. The standard library keeps names with blanks as fields of their
// own, so that the framing in them is not seen, and takes any three characters that are a number for a status.
func check(status, minStatus int, h http.Header) error {
	if status < minStatus || status > maxStatus {
		return errors.Mark(errors.Newf("invalid status %d", status), ErrInvalidAnswer)
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Mark(errors.Newf("invalid name of a field %.40q", name), ErrInvalidAnswer)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Mark(errors.Newf("invalid value of %s: %.40q", name, v), ErrInvalidAnswer)
			}
		}
	}
	return nil
}
