package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/member"
	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/manifest"
)

// entriesAnswer tells a caller which instances to use.
type entriesAnswer struct {
	Entries []entryLine `json:"entries"`
	// KeepMS is how long the answer may be used.
	KeepMS int64 `json:"keep_ms"`
	// KeyPrefix begins idempotency keys whose home is this instance. Such a key
	// runs without the store, but its fate is unknown once the instance is gone.
	KeyPrefix string `json:"key_prefix"`
}

type entryLine struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// maxEntries bounds the addresses in one answer.
const maxEntries = 16

// entries answers in an order of its own for each caller, which spreads the
// callers over the instances; a caller that names its data centre gets the
// instances there first.
func (a *API) entries(c echo.Context) error {
	alive := a.mem.View().Alive
	byName := map[string]entryLine{}
	for _, s := range alive {
		byName[s.Name] = entryLine{Name: s.Name, Addr: s.CallerAddr, DataCentre: s.DataCentre}
	}
	names := member.Owners(alive)
	ranked := place.Rank(c.RealIP()+c.Request().Header.Get(echo.HeaderAuthorization), names, len(names))
	near := c.QueryParam("data_centre")
	ans := entriesAnswer{KeepMS: a.KeepEntries.Std().Milliseconds(), Entries: []entryLine{}, KeyPrefix: a.homePrefix()}
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
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(c echo.Context) error {
	who, err := a.authenticate(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelLine{}}
	for _, name := range who.index.ServiceNames(manifest.Model) {
		list.Data = append(list.Data, modelLine{ID: name, Object: "model", OwnedBy: who.index.Manifest.Site})
	}
	return c.JSON(http.StatusOK, list)
}
