package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/serve/intake"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         result.Code `json:"code"`
	Name         string      `json:"name"`
	Message      string      `json:"message"`
	NotRun       bool        `json:"not_run"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

func newErrorBody(e *result.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: e.Code, Name: e.Code.String(), Message: e.Message, NotRun: e.NotRun, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

func writeError(c echo.Context, e *result.Error) error {
	if c.Response().Committed {
		return nil
	}
	if e.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	status := result.Lookup(e.Code).Status
	if unread(c) {
		return refuseUnread(c, status, newErrorBody(e))
	}
	return c.JSON(status, newErrorBody(e))
}

// refuseUnread answers a request whose body was not read, and closes its connection.
func refuseUnread(c echo.Context, status int, body errorBody) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().Committed = true
	if intake.Refuse(c.Response().Writer, c.Request(), status, raw) != nil {
		// The client has disconnected.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handleError writes errors of handlers and of the router as coded errors.
func (a *API) handleError(err error, c echo.Context) {
	var coded *result.Error
	if he, ok := err.(*echo.HTTPError); ok {
		coded = fromHTTPError(he)
	} else {
		coded = result.From(err)
	}
	a.countResult(coded.Code)
	_ = writeError(c, coded)
}

func fromHTTPError(he *echo.HTTPError) *result.Error {
	switch he.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return result.New(result.NotFound, "no such path or method")
	default:
		return result.New(result.BadRequest, "%v", he.Message)
	}
}

// sseError encodes an error inside a stream that has started.
func sseError(e *result.Error) []byte {
	raw, _ := json.Marshal(newErrorBody(e))
	return raw
}
