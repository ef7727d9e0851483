package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/manifest"
)

// entriesAnswer lists the instances that a caller should use.
type entriesAnswer struct {
	Entries []entryInfo `json:"entries"`
	// KeepMS is how long the answer may be cached.
	KeepMS int64 `json:"keep_ms"`
	// KeyPrefix is the prefix of idempotency keys bound to this instance. Such a key
	// needs no store, but its outcome is unknown once the instance is gone.
	KeyPrefix string `json:"key_prefix"`
}

type entryInfo struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// maxEntries is the maximum number of addresses in one answer.
const maxEntries = 16

// entries lists the instances in an order that depends on the caller, which
// spreads callers over the instances. A caller that names its data centre gets
// the instances there first.
func (a *API) entries(c echo.Context) error {
	alive := a.mem.View().Alive
	byName := map[string]entryInfo{}
	for _, s := range alive {
		byName[s.Name] = entryInfo{Name: s.Name, Addr: s.CallerAddr, DataCentre: s.DataCentre}
	}
	names := member.Owners(alive)
	ranked := place.Rank(c.RealIP()+c.Request().Header.Get(echo.HeaderAuthorization), names, len(names))
	near := c.QueryParam("data_centre")
	ans := entriesAnswer{KeepMS: a.KeepEntries.Std().Milliseconds(), Entries: []entryInfo{}, KeyPrefix: a.boundKeyPrefix()}
	for _, local := range []bool{true, false} {
		for _, n := range ranked {
			if (byName[n].DataCentre == near) == local && len(ans.Entries) < maxEntries {
				ans.Entries = append(ans.Entries, byName[n])
			}
		}
	}
	return c.JSON(http.StatusOK, ans)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(c echo.Context) error {
	who, err := a.authenticate(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range who.index.ServiceNames(manifest.Model) {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: who.index.Manifest.Site})
	}
	return c.JSON(http.StatusOK, list)
}
