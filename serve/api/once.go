package api

import (
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/result"
)

// once runs a request that may not be repeated.
func (a *API) once(_ echo.Context, _ caller, _ []byte, _ func(keepFunc) error) error {
	return result.New(result.ClaimUnavailable, "claims are not available on this instance").After(time.Second)
}
