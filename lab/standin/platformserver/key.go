package platformserver

import (
	"net/url"

	"github.com/labstack/echo/v4"
)

// keyOf returns the object key in the request path. Keys contain slashes and are
// escaped in the path.
func keyOf(c echo.Context) string {
	if out, err := url.PathUnescape(c.Param("key")); err == nil {
		return out
	}
	return c.Param("key")
}
