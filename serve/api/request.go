package api

import (
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/result"
)

// maxKeyLength bounds an Idempotency-Key in bytes.
const maxKeyLength = 256

// caller is who asks, by which configuration and under which promise.
type caller struct {
	index    *manifest.Index
	customer manifest.Customer
	kind     manifest.Kind
	limit    time.Duration
	key      string
}

// authenticate finds the customer of the bearer key.
func (a *API) authenticate(c echo.Context) (caller, error) {
	ix := a.conf.Index()
	if ix == nil {
		return caller{}, result.New(result.NoConfiguration, "no configuration yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok {
		return caller{}, result.New(result.UnknownKey, "a bearer key is required")
	}
	customer, ok := ix.CustomerByKey(key)
	if !ok {
		return caller{}, result.New(result.UnknownKey, "the key is not known")
	}
	return caller{index: ix, customer: customer}, nil
}

// promise fills in the kind of request, its time limit and its key.
func (a *API) promise(c echo.Context, who *caller, svc manifest.Service) error {
	h := c.Request().Header
	name := h.Get(headerKind)
	if name == "" {
		name = svc.DefaultKind
	}
	kind, ok := who.index.Kind(name)
	if !ok {
		return result.New(result.UnknownKind, "the manifest declares no such kind of request")
	}
	who.kind, who.limit = kind, kind.TimeLimit.Std()
	if v := h.Get(headerLimit); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 {
			return result.New(result.BadRequest, "%s must be a positive number of milliseconds", headerLimit)
		}
		if ms < who.limit.Milliseconds() {
			who.limit = time.Duration(ms) * time.Millisecond
		}
	}
	who.key = h.Get(headerKey)
	if len(who.key) > maxKeyLength {
		return result.New(result.BadRequest, "%s exceeds %d bytes", headerKey, maxKeyLength)
	}
	if kind.NeverTwice && who.key == "" {
		return result.New(result.KeyRequired, "kind %s requires an %s", kind.Name, headerKey)
	}
	a.setID(c, *who)
	return nil
}
