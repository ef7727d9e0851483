// Package platformapi provides the clients of the platform's services to other modules.
package platformapi

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/port/instances"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/port/weights"
)

// ID is the name of the module and of its settings table.
const ID auburnmoor.ModuleID = "platform.api"

func init() { auburnmoor.Register(new(Platform)) }

// Platform is the module "platform.api".
type Platform struct {
	// ObjectAPI and InstanceList are the addresses (host:port) of the platform's services.
	ObjectAPI    string `toml:"object_api" validate:"required,hostname_port"`
	InstanceList string `toml:"instance_list" validate:"required,hostname_port"`
	// WeightStore is the address (host:port) of the weight store, by default that of the
	// object API.
	WeightStore string `toml:"weight_store" validate:"omitempty,hostname_port"`

	weights *weights.Client
	store   *objectapi.Client
	lister  *instances.Client
	mu      sync.Mutex
	calls   map[string]uint64
}

// ModuleInfo implements auburnmoor.Module.
func (*Platform) ModuleInfo() auburnmoor.ModuleInfo {
	return auburnmoor.ModuleInfo{ID: ID, Provides: []auburnmoor.ModuleID{instances.Port}, New: func() auburnmoor.Module { return new(Platform) }}
}

// Provision implements auburnmoor.Provisioner.
func (p *Platform) Provision(c *auburnmoor.Context) error {
	p.calls = map[string]uint64{}
	p.store = objectapi.NewClient(p.ObjectAPI)
	p.store.Count = func(method string) { p.count(c.Scope, method) }
	if p.WeightStore == "" {
		p.WeightStore = p.ObjectAPI
	}
	p.weights = weights.NewClient(p.WeightStore)
	p.lister = instances.NewClient(p.InstanceList)
	return nil
}

func (p *Platform) count(s tally.Scope, method string) {
	s.Tagged(map[string]string{"method": method}).Counter("store_calls").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[method]++
}

// Store returns the client of the object API.
func (p *Platform) Store() *objectapi.Client { return p.store }

// Weights returns the client of the weight store.
func (p *Platform) Weights() *weights.Client { return p.weights }

// Lister returns the client of the instance list.
func (p *Platform) Lister() instances.Lister { return p.lister }

// Register implements instances.Registrar.
func (p *Platform) Register(ctx context.Context, self instances.Instance) error {
	return p.lister.Register(ctx, self)
}

// Deregister implements instances.Registrar.
func (p *Platform) Deregister(ctx context.Context, name string) error {
	return p.lister.Deregister(ctx, name)
}

// Dump implements auburnmoor.Dumper.
func (p *Platform) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]uint64, len(p.calls))
	for k, v := range p.calls {
		calls[k] = v
	}
	return Dump{Calls: calls}
}

// Dump is the state of the module.
type Dump struct {
	// Calls counts the calls to the object API by method.
	Calls map[string]uint64 `json:"object_api_calls"`
}
