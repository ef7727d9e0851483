package api

import (
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/result"
)

// maxKeyLength is the maximum length of an Idempotency-Key in bytes.
const maxKeyLength = 256

// caller holds the customer of a request, the configuration it is served by, and
// its kind, time budget and idempotency key.
type caller struct {
	index      *manifest.Index
	customer   manifest.Customer
	kind       manifest.Kind
	timeBudget time.Duration
	key        string
}

// authenticate looks up the customer by the bearer key.
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

// resolveKind fills in the kind, time limit and idempotency key of a request.
func (a *API) resolveKind(c echo.Context, who *caller, svc manifest.Service) error {
	h := c.Request().Header
	name := h.Get(headerKind)
	if name == "" {
		name = svc.DefaultKind
	}
	kind, ok := who.index.Kind(name)
	if !ok {
		return result.New(result.UnknownKind, "the manifest declares no such kind of request")
	}
	who.kind, who.timeBudget = kind, kind.TimeLimit.Std()
	if v := h.Get(headerTimeLimit); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 {
			return result.New(result.BadRequest, "%s must be a positive number of milliseconds", headerTimeLimit)
		}
		if ms < who.timeBudget.Milliseconds() {
			who.timeBudget = time.Duration(ms) * time.Millisecond
		}
	}
	who.key = h.Get(headerKey)
	if len(who.key) > maxKeyLength {
		return result.New(result.BadRequest, "%s exceeds %d bytes", headerKey, maxKeyLength)
	}
	if kind.NeverTwice && who.key == "" {
		return result.New(result.KeyRequired, "kind %s requires an %s", kind.Name, headerKey)
	}
	a.assignRequestID(c, *who)
	return nil
}
