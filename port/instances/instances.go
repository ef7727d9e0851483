// Package instances is the interface to the platform's instance list, which contains
// alive and leaving instances and may be out of date.
package instances

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/internal/strictclient"
)

// Role is what an instance runs.
type Role string

// The roles in the list.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is one entry of the list.
type Instance struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	Addr       string `json:"addr"`
	PeerAddr   string `json:"peer_addr,omitempty"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Service is the plain service that a RoleService instance runs.
	Service string `json:"service,omitempty"`
	// Fencing is set if an engine rejects stale fencing tokens.
	Fencing bool `json:"fencing,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}

// Port is the name under which a module provides the instance list.
const Port auburnmoor.ModuleID = "port.instances"

// Source is implemented by the module that provides the instance list.
type Source interface{ Lister() Lister }

// Seeder is implemented by a list that knows some instances without a request. They
// may no longer exist.
type Seeder interface{ Seeds() []Instance }

// Registrar is implemented by a list in which instances register themselves. Both
// calls are idempotent.
type Registrar interface {
	Register(ctx context.Context, self Instance) error
	Deregister(ctx context.Context, name string) error
}

// Client reads the list over HTTP.
type Client struct{ url string }

// NewClient returns a client of the list at addr (host:port).
func NewClient(addr string) *Client { return &Client{url: "http://" + addr + "/instances"} }

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := strictclient.Default.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("instance list answered %d", resp.StatusCode)
	}
	var out []Instance
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "instance list")
}

// Register implements Registrar.
func (c *Client) Register(ctx context.Context, self Instance) error {
	raw, err := json.Marshal(self)
	if err != nil {
		return err
	}
	return c.change(ctx, http.MethodPut, self.Name, raw)
}

// Deregister implements Registrar.
func (c *Client) Deregister(ctx context.Context, name string) error {
	return c.change(ctx, http.MethodDelete, name, nil)
}

func (c *Client) change(ctx context.Context, method, name string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, c.url+"/"+url.PathEscape(name), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := strictclient.Default.Do(req)
	if err != nil {
		return errors.Wrap(err, "instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("instance list answered %d", resp.StatusCode)
	}
	return nil
}
