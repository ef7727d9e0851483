package api

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/room"
	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/serve/intake"
)

// Keys of an echo context.
const (
	// bodyContextKey holds a request body kept for forwarding, leaseContextKey the memory of the body of a request.
	bodyContextKey  = "auburnmoor-body"
	leaseContextKey = "auburnmoor-lease"
)

func savedBody(c echo.Context) []byte {
	raw, _ := c.Get(bodyContextKey).([]byte)
	return raw
}

func clientLimits() intake.Limits {
	return intake.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// freeBody is middleware that frees the memory of the body of a request.
func freeBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().ContentLength != 0 {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		defer func() {
			lease, _ := c.Get(leaseContextKey).(*intake.Lease)
			lease.Release()
		}()
		err := next(c)
		if err == nil && unread(c) {
			// net/http would read on before it closes the connection.
			intake.ConnOf(c.Request().Context()).StopReading()
		}
		return err
	}
}

// unread reports whether the body of a request was not read.
func unread(c echo.Context) bool {
	return c.Request().ContentLength != 0 && c.Get(leaseContextKey) == nil
}

// readBody reads the whole body of a customer's request within the limits of size, time and memory.
func (a *API) readBody(c echo.Context, customer string) ([]byte, error) {
	r := c.Request()
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > a.MaxBody {
		return nil, result.New(result.BodyTooLarge, "body exceeds %d bytes", a.MaxBody)
	}
	conn := intake.ConnOf(r.Context())
	conn.SetBodyDeadline(time.Now().Add(a.BodyTimeout.Std()))
	done, ok := conn.Receiving(r.ContentLength)
	defer done()
	if !ok {
		return nil, a.intake.Full(0)
	}
	b := intake.Body{
		Entry:  room.Entry{Customer: customer, Length: r.ContentLength, Until: a.intake.Now() + a.BodyTimeout.Std()},
		Reader: r.Body, Limit: a.MaxBody,
	}
	raw, lease, refusal, err := a.intake.ReadBody(b, conn.StopReading)
	if refusal != nil {
		return nil, refusal
	}
	if err != nil {
		return nil, a.bodyError(conn, err)
	}
	conn.SetBodyDeadline(time.Time{})
	c.Set(leaseContextKey, lease)
	c.Response().Header().Del(echo.HeaderConnection)
	if strings.HasPrefix(r.Header.Get(headerKey), boundKeyMark) {
		c.Set(bodyContextKey, raw)
	}
	return raw, nil
}

func (a *API) bodyError(conn *intake.Conn, err error) error {
	var timeout net.Error
	switch {
	case conn.Displaced():
		return a.intake.Full(0)
	case errors.Is(err, intake.ErrTooLarge):
		return result.New(result.BodyTooLarge, "body exceeds %d bytes", a.MaxBody)
	case errors.As(err, &timeout) && timeout.Timeout():
		return result.New(result.BodyTooSlow, "body did not arrive within %s", a.BodyTimeout.Std())
	default:
		return result.New(result.BadRequest, "body could not be read")
	}
}

// takeParsed takes memory for what is parsed from a body.
func (a *API) takeParsed(c echo.Context, raw []byte) error {
	lease, _ := c.Get(leaseContextKey).(*intake.Lease)
	if lease != nil && !lease.Grow(int64(len(raw))) {
		return a.intake.Full(int64(len(raw)))
	}
	return nil
}
