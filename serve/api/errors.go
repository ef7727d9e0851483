package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/result"
)

// errorBody is the JSON form of a failure.
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

func bodyOf(e *result.Error) errorBody {
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
	return c.JSON(result.Lookup(e.Code).Status, bodyOf(e))
}

// handleError maps errors of handlers and of the router to the numbered form.
func (a *API) handleError(err error, c echo.Context) {
	var coded *result.Error
	if he, ok := err.(*echo.HTTPError); ok {
		coded = fromHTTP(he)
	} else {
		coded = result.From(err)
	}
	a.countResult(coded.Code)
	_ = writeError(c, coded)
}

func fromHTTP(he *echo.HTTPError) *result.Error {
	switch he.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return result.New(result.NotFound, "no such path or method")
	default:
		return result.New(result.BadRequest, "%v", he.Message)
	}
}

// sseError renders a failure inside a stream that has begun.
func sseError(e *result.Error) []byte {
	raw, _ := json.Marshal(bodyOf(e))
	return raw
}
