// Package manifest defines the configuration that a build pipeline generates:
// services, model versions, kinds of request, customers and limits. An accepted
// manifest is immutable; every change is a new version.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburnmoor/auburnmoor/settings"
)

// ServiceType distinguishes model services from plain ones.
type ServiceType string

// The types of service.
const (
	Model ServiceType = "model"
	Plain ServiceType = "plain"
)

// Manifest is the whole configuration of a site.
type Manifest struct {
	Site      string     `toml:"site" validate:"required,max=64"`
	Services  []Service  `toml:"service" validate:"required,dive"`
	Kinds     []Kind     `toml:"kind" validate:"required,dive"`
	Customers []Customer `toml:"customer" validate:"required,dive"`
	Limits    Limits     `toml:"limits"`
	// Roles assigns roles to engines; an unlisted engine serves all requests.
	Roles []Role `toml:"role" validate:"dive"`
}

// Service is a service that callers name in "model" or in the path.
type Service struct {
	Name string      `toml:"name" validate:"required,max=64,excludesall=/ "`
	Type ServiceType `toml:"type" validate:"required,oneof=model plain"`
	// ModelName and Version identify the weights that engines must have loaded.
	ModelName   string `toml:"model_name" validate:"required_if=Type model"`
	Version     string `toml:"version" validate:"required_if=Type model"`
	Adapter     string `toml:"adapter"`
	DefaultKind string `toml:"default_kind" validate:"required"`
	// MaxOutput is the maximum and the default of max_tokens.
	MaxOutput int `toml:"max_output" validate:"min=0,max=131072"`
}

// WeightsName returns the name of the service's weights as engines report it.
func (s Service) WeightsName() string {
	name := s.ModelName + "@" + s.Version
	if s.Adapter != "" {
		name += "+" + s.Adapter
	}
	return name
}

// SameModel reports whether loaded weights are any version of a service's model
// with the same adapter.
func SameModel(loaded string, s Service) bool {
	name, rest, ok := strings.Cut(loaded, "@")
	_, adapter, _ := strings.Cut(rest, "+")
	return ok && name == s.ModelName && adapter == s.Adapter
}

// Kind is a class of requests with its latency target and execution guarantee.
type Kind struct {
	Name string `toml:"name" validate:"required,max=64"`
	// AnswerQuickly orders requests by FirstToken.
	AnswerQuickly bool `toml:"answer_quickly"`
	// MayWait orders requests by their time limit.
	MayWait bool `toml:"may_wait"`
	// NeverTwice requires an Idempotency-Key; requests run at most once.
	NeverTwice bool              `toml:"never_twice"`
	TimeLimit  settings.Duration `toml:"time_limit" validate:"required"`
	FirstToken settings.Duration `toml:"first_token"`
	Priority   int               `toml:"priority" validate:"min=0,max=9"`
}

// Target returns the target for the time to first token.
func (k Kind) Target() time.Duration {
	if k.FirstToken > 0 {
		return k.FirstToken.Std()
	}
	return k.TimeLimit.Std()
}

// Customer owns keys and a share of the fleet.
type Customer struct {
	Name string `toml:"name" validate:"required,max=64"`
	// KeyHashes are lower-case SHA-256 hashes; the keys themselves are never stored.
	KeyHashes []string `toml:"key_hashes" validate:"required,dive,len=64,hexadecimal,lowercase"`
	// Share is the customer's weight in fair sharing under contention.
	Share int `toml:"share" validate:"min=1,max=1000"`
}

// Limits bound retries and the ejection of backend servers.
type Limits struct {
	// RetryShare is the ratio of retries to recent successes.
	RetryShare float64 `toml:"retry_share" validate:"min=0,max=1"`
	// EjectShare bounds the fraction of a service's backend servers that are ejected.
	EjectShare float64 `toml:"eject_share" validate:"min=0,max=0.9"`
}

// Role assigns a role to an engine.
type Role struct {
	Engine string `toml:"engine" validate:"required"`
	Role   string `toml:"role" validate:"required,oneof=any long short"`
}

// Parse decodes and checks a manifest; the error lists every problem.
func Parse(raw []byte) (*Manifest, error) {
	m := &Manifest{}
	problems := settings.UnmarshalStrict(raw, m)
	problems = append(problems, m.conflicts()...)
	if len(problems) > 0 {
		return nil, settings.Problems(problems)
	}
	return m, nil
}

func (m *Manifest) conflicts() []string {
	var out []string
	kinds := map[string]bool{}
	for _, k := range m.Kinds {
		if kinds[k.Name] {
			out = append(out, fmt.Sprintf("kind %q is declared twice", k.Name))
		}
		kinds[k.Name] = true
		if k.AnswerQuickly && k.MayWait {
			out = append(out, fmt.Sprintf("kind %q cannot both answer_quickly and may_wait", k.Name))
		}
		if k.FirstToken > k.TimeLimit {
			out = append(out, fmt.Sprintf("kind %q: first_token exceeds time_limit", k.Name))
		}
	}
	names := map[string]bool{}
	for _, s := range m.Services {
		if names[s.Name] {
			out = append(out, fmt.Sprintf("service %q is declared twice", s.Name))
		}
		names[s.Name] = true
		if !kinds[s.DefaultKind] {
			out = append(out, fmt.Sprintf("service %q: default_kind %q is not declared", s.Name, s.DefaultKind))
		}
	}
	return append(out, m.customerConflicts()...)
}

func (m *Manifest) customerConflicts() []string {
	var out []string
	hashOwners := map[string]string{}
	names := map[string]bool{}
	for _, c := range m.Customers {
		if names[c.Name] {
			out = append(out, fmt.Sprintf("customer %q is declared twice", c.Name))
		}
		names[c.Name] = true
		for _, h := range c.KeyHashes {
			if other, ok := hashOwners[h]; ok {
				out = append(out, fmt.Sprintf("customers %q and %q share a key hash", other, c.Name))
			}
			hashOwners[h] = c.Name
		}
	}
	return out
}

// HashKey returns the hash of a key as it is stored in KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index looks up parts of a manifest by name or key.
type Index struct {
	Manifest *Manifest
	services map[string]Service
	kinds    map[string]Kind
	keys     map[string]Customer
}

// NewIndex builds the index of m.
func NewIndex(m *Manifest) *Index {
	ix := &Index{Manifest: m, services: map[string]Service{}, kinds: map[string]Kind{}, keys: map[string]Customer{}}
	for _, s := range m.Services {
		ix.services[s.Name] = s
	}
	for _, k := range m.Kinds {
		ix.kinds[k.Name] = k
	}
	for _, c := range m.Customers {
		for _, h := range c.KeyHashes {
			ix.keys[h] = c
		}
	}
	return ix
}

// Service finds a service by name.
func (ix *Index) Service(name string) (Service, bool) { s, ok := ix.services[name]; return s, ok }

// Kind finds a kind by name.
func (ix *Index) Kind(name string) (Kind, bool) { k, ok := ix.kinds[name]; return k, ok }

// CustomerByKey finds the customer that owns a bearer key.
func (ix *Index) CustomerByKey(key string) (Customer, bool) {
	c, ok := ix.keys[HashKey(key)]
	return c, ok
}

// ServiceNames returns the sorted names of the services of one type.
func (ix *Index) ServiceNames(t ServiceType) []string {
	var out []string
	for _, s := range ix.Manifest.Services {
		if s.Type == t {
			out = append(out, s.Name)
		}
	}
	slices.Sort(out)
	return out
}
