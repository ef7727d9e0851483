//go:build review

package stage

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"
)

// Bounds of a page of a list, as the pages state them: "about 500 or 1 MB at most".
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// pager stands before the store and cuts its lists into pages of that size. All other calls pass unchanged.
type pager struct {
	store  string
	server *http.Server
	pass   *httputil.ReverseProxy
}

// startPager returns the address of a pager before a store.
func startPager(store string) (*pager, string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &pager{store: "http://" + store}
	target, err := url.Parse(p.store)
	if err != nil {
		return nil, "", err
	}
	p.pass = httputil.NewSingleHostReverseProxy(target)
	p.pass.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(lis) }()
	return p, lis.Addr().String(), nil
}

// listed is an object of a list and the text of it.
type listed struct {
	text json.RawMessage
	name string
}

// ServeHTTP implements http.Handler.
func (p *pager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, isKind := strings.CutPrefix(r.URL.Path, "/objects/")
	if r.Method != http.MethodGet || !isKind || strings.Contains(kind, "/") || r.URL.Query().Has("watch") {
		p.pass.ServeHTTP(w, r)
		return
	}
	all, revision, era, err := p.readAll(kind)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	page, more := pageAfter(all, r.URL.Query().Get("after"))
	if era != "" {
		w.Header().Set("Store-Era", era)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": page, "more": more, "storeRevision": revision})
}

// readAll reads all objects of a kind, sorted by name, and the revision of the first page.
func (p *pager) readAll(kind string) (all []listed, revision int64, era string, err error) {
	client := &http.Client{Timeout: time.Second}
	for after, first := "", true; ; first = false {
		resp, err := client.Get(p.store + "/objects/" + kind + "?after=" + url.QueryEscape(after))
		if err != nil {
			return nil, 0, "", err
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, 0, "", err
		}
		var page struct {
			Items         []json.RawMessage `json:"items"`
			More          bool              `json:"more"`
			StoreRevision int64             `json:"storeRevision"`
		}
		if err := json.Unmarshal(raw, &page); err != nil {
			return nil, 0, "", err
		}
		if first {
			revision, era = page.StoreRevision, resp.Header.Get("Store-Era")
		}
		for _, text := range page.Items {
			var o struct{ Metadata struct{ Name string } }
			if err := json.Unmarshal(text, &o); err != nil {
				return nil, 0, "", err
			}
			all = append(all, listed{text, o.Metadata.Name})
			after = o.Metadata.Name
		}
		if !page.More {
			return all, revision, era, nil
		}
	}
}

// pageAfter returns the page after a name, and whether more follow it.
func pageAfter(all []listed, after string) (page []json.RawMessage, more bool) {
	page = []json.RawMessage{}
	size := 0
	for _, o := range all {
		if o.name <= after {
			continue
		}
		if len(page) > 0 && (len(page) >= pageItems || size+len(o.text) > pageBytes) {
			return page, true
		}
		page = append(page, o.text)
		size += len(o.text)
	}
	return page, false
}
