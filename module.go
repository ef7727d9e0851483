// Package auburnmoor is the kernel of the serving layer: the registry of
// modules and the lifecycle of one process. It contains no features: a feature
// is a package that registers a module in init under a dotted name and is configured
// from the settings table of that name.
package auburnmoor

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
)

// ModuleID is a dotted name such as "http.api"; it names both the module and
// its table in the settings file.
type ModuleID string

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	ID ModuleID
	// Requires lists modules that are provisioned and started before this one.
	// A port stands for the loaded module that provides it.
	Requires []ModuleID
	// Provides lists the IDs of the ports that this module implements. At most one
	// module of a process provides a given port.
	Provides []ModuleID
	// OptIn excludes the module from processes whose settings do not list it.
	OptIn bool
	// New returns an empty instance; its exported fields are its settings.
	New func() Module
}

// Module is a feature that the kernel can load. A module may also implement
// Provisioner, Validator, Starter, Drainer, Cleaner, Reloader, Dumper and Operable.
type Module interface {
	ModuleInfo() ModuleInfo
}

// Provisioner initializes a module after its settings were decoded; it must not
// start goroutines.
type Provisioner interface {
	Provision(*Context) error
}

// Validator checks settings that tags cannot express.
type Validator interface {
	Validate() error
}

// Starter starts a module. The context ends when the process stops.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer completes work that callers wait for; it returns when none is left or
// ctx ends. Modules drain in reverse order of start.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Cleaner releases what Provision and Start acquired.
type Cleaner interface {
	Cleanup() error
}

// Reloader applies settings that changed while the process runs. fresh is a copy of
// the module with the new settings, configured and validated but never started.
// Settings that cannot change at run time keep their values.
type Reloader interface {
	Reload(fresh Module) error
}

// Dumper contributes to the state dump. The value must be bounded in size and
// hold neither prompts nor keys.
type Dumper interface {
	Dump() any
}

// Operable carries out operators' actions on a running process.
type Operable interface {
	// Operate carries out an action on a subject, which may be empty.
	Operate(action, subject string) error
}

var (
	registryMu sync.RWMutex
	registry   = map[ModuleID]ModuleInfo{}
)

// Register adds a module to the registry; it panics on a duplicate or
// malformed entry, which is a defect in the program.
func Register(m Module) {
	info := m.ModuleInfo()
	if info.ID == "" || info.New == nil {
		panic("auburnmoor: module without ID or New")
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, ok := registry[info.ID]; ok {
		panic(fmt.Sprintf("auburnmoor: module %q registered twice", info.ID))
	}
	registry[info.ID] = info
}

// Modules returns the registered modules sorted by ID.
func Modules() []ModuleInfo {
	registryMu.RLock()
	defer registryMu.RUnlock()
	out := make([]ModuleInfo, 0, len(registry))
	for _, info := range registry {
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b ModuleInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
