// Package settings reads an instance's TOML file: the [instance] table and one
// table per module. All tables are checked before any module starts, and all
// problems are reported together.
package settings

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnmoor/auburnmoor"
)

// Instance is the [instance] table, which describes the process itself.
type Instance struct {
	Name       string `toml:"name" validate:"required"`
	DataCentre string `toml:"data_centre" validate:"required"`
	Region     string `toml:"region" validate:"required"`
	// CallerAddr, PeerAddr and AdminAddr are host:port with an IP address as host.
	CallerAddr string `toml:"caller_addr" validate:"required,hostname_port"`
	PeerAddr   string `toml:"peer_addr" validate:"required,hostname_port"`
	AdminAddr  string `toml:"admin_addr" validate:"required,hostname_port"`
	// Cores is the number of processor cores that the process may use, zero if unknown.
	// Larger instances take a larger share of the fleet's common duties.
	Cores float64 `toml:"cores" validate:"min=0,max=1024"`
	// MemoryMB is the memory limit of the process in megabytes, beyond which it is killed;
	// zero if unknown.
	MemoryMB float64 `toml:"memory_mb" validate:"min=0,max=1048576"`
	// MaxDescriptors is the number of file descriptors that the process may have open, zero for the limit that
	// the system sets.
	MaxDescriptors float64 `toml:"max_descriptors" validate:"min=0,max=16777216"`
	// LogFormat is json or console.
	LogFormat string `toml:"log_format" validate:"omitempty,oneof=json console"`
	// DrainTimeout bounds a graceful shutdown; zero waits for all streams to end.
	DrainTimeout Duration `toml:"drain_timeout"`
	// Modules lists the modules to load in addition to those that they require. If
	// empty, all modules are loaded except those that must be listed.
	Modules []string `toml:"modules"`
}

// Capacity returns Cores in thousandths of a core.
func (i Instance) Capacity() uint32 {
	const perCore = 1000
	return uint32(i.Cores * perCore)
}

// heapShare is the share of the memory limit for the heap and the stacks. The rest is for the
// program itself, kernel buffers charged to the process, and allocation between two garbage collections.
const heapShare = 0.55

// MemoryBytes returns MemoryMB in bytes.
func (i Instance) MemoryBytes() int64 {
	const megabyte = 1 << 20
	return int64(i.MemoryMB * megabyte)
}

// HeapLimit returns the soft memory limit of the garbage collector in bytes, zero for
// none.
func (i Instance) HeapLimit() int64 { return int64(heapShare * float64(i.MemoryBytes())) }

// Duration is a time.Duration written as "1.5s" and similar.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\" or \"10s\"", b)
	}
	if v < 0 {
		return errors.Newf("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std converts to time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// File is a parsed settings file.
type File struct {
	Path     string
	Instance Instance
	tables   map[string]any
}

// Load reads path and checks the [instance] table and that every other table
// belongs to a registered module.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, raw)
}

// Parse is Load for content that is already in memory.
func Parse(path string, raw []byte) (*File, error) {
	f := &File{Path: path, tables: map[string]any{}}
	if err := toml.Unmarshal(raw, &f.tables); err != nil {
		p := decodeProblems(err)[0]
		return nil, errors.Newf("%s: %s%s", path, p.where, p.text)
	}
	var problems []string
	if t, ok := f.tables["instance"]; ok {
		problems = append(problems, f.decode("instance", t, &f.Instance)...)
	} else {
		problems = append(problems, fmt.Sprintf("%s: table [instance] is missing", path))
	}
	problems = append(problems, f.unknownTables()...)
	if len(problems) > 0 {
		return f, problemList(problems)
	}
	return f, nil
}

// Configure decodes a module's table into it and checks the values.
func (f *File) Configure(id auburnmoor.ModuleID, m auburnmoor.Module) error {
	t, ok := lookup(f.tables, strings.Split(string(id), "."))
	if !ok {
		t = map[string]any{}
	}
	return problemList(f.decode(string(id), t, m))
}

// Equal reports whether two files have the same content.
func (f *File) Equal(o *File) bool { return reflect.DeepEqual(f.tables, o.tables) }

// ModuleIDs returns the modules listed in the settings.
func (f *File) ModuleIDs() []auburnmoor.ModuleID {
	var out []auburnmoor.ModuleID
	for _, id := range f.Instance.Modules {
		out = append(out, auburnmoor.ModuleID(id))
	}
	return out
}

// CheckAll checks every module's table without starting anything.
func (f *File) CheckAll() error {
	var all []error
	infos, err := auburnmoor.Select(f.ModuleIDs())
	if err != nil {
		return errors.Wrap(err, f.Path)
	}
	for _, info := range infos {
		m := info.New()
		if err := f.Configure(info.ID, m); err != nil {
			all = append(all, err)
		}
		if v, ok := m.(auburnmoor.Validator); ok {
			all = append(all, errors.Wrapf(v.Validate(), "%s: [%s]", f.Path, info.ID))
		}
	}
	return errors.Join(all...)
}

func (f *File) unknownTables() []string {
	known := map[string]bool{"instance": true}
	prefixes := map[string]bool{}
	for _, info := range auburnmoor.Modules() {
		known[string(info.ID)] = true
		head, _, _ := strings.Cut(string(info.ID), ".")
		prefixes[head] = true
	}
	var out []string
	for name, v := range f.tables {
		if known[name] {
			continue
		}
		sub, isTable := v.(map[string]any)
		if !isTable || !prefixes[name] {
			out = append(out, fmt.Sprintf("%s: unknown table or key %q; allowed: %s", f.Path, name, allowedTables(known)))
			continue
		}
		for k := range sub {
			if !known[name+"."+k] {
				out = append(out, fmt.Sprintf("%s: unknown table [%s.%s]; allowed: %s", f.Path, name, k, allowedTables(known)))
			}
		}
	}
	return out
}

// decode decodes one table strictly into v and returns all problems. Keys are
// decoded one by one, because a decoder stops at the first wrong type.
func (f *File) decode(name string, table any, v any) []string {
	keys, ok := table.(map[string]any)
	if !ok {
		return []string{fmt.Sprintf("%s: [%s] is not a table", f.Path, name)}
	}
	var problems []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		raw, err := toml.Marshal(map[string]any{k: keys[k]})
		if err != nil {
			problems = append(problems, fmt.Sprintf("key %q: %s", k, err))
			continue
		}
		for _, p := range decodeStrict(raw, v) {
			problems = append(problems, p.text)
		}
	}
	problems = append(problems, validateProblems(v)...)
	for i, p := range problems {
		problems[i] = fmt.Sprintf("%s: [%s] %s", f.Path, name, p)
	}
	return problems
}

// UnmarshalStrict decodes a whole TOML document into v, rejecting unknown keys, then checks
// the validate tags. It returns one line per problem.
func UnmarshalStrict(raw []byte, v any) []string {
	var out []string
	for _, p := range decodeStrict(raw, v) {
		out = append(out, p.where+p.text)
	}
	return append(out, validateProblems(v)...)
}

// problem is an error of a decoder and its position in the document.
type problem struct{ where, text string }

func decodeStrict(raw []byte, v any) []problem {
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return decodeProblems(err)
	}
	var out []problem
	for _, e := range strict.Errors {
		out = append(out, problem{text: fmt.Sprintf("unknown key %q", strings.Join(e.Key(), "."))})
	}
	// An error for unknown keys hides type errors, so the types are checked again.
	return append(out, decodeProblems(toml.Unmarshal(raw, v))...)
}

func decodeProblems(err error) []problem {
	var de *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &de):
		row, col := de.Position()
		return []problem{{
			where: fmt.Sprintf("line %d column %d, ", row, col),
			text:  fmt.Sprintf("key %q: %s", strings.Join(de.Key(), "."), strings.TrimPrefix(de.Error(), "toml: ")),
		}}
	default:
		return []problem{{text: err.Error()}}
	}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	return v
}

func validateProblems(v any) []string {
	err := validate.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return nil
	}
	var out []string
	for _, e := range list {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		out = append(out, fmt.Sprintf("key %q: value %v breaks the rule %s", path, e.Value(), ruleText(e)))
	}
	return out
}

func ruleText(e validator.FieldError) string {
	if e.Param() == "" {
		return e.Tag()
	}
	return e.Tag() + "=" + e.Param()
}

func lookup(t map[string]any, path []string) (any, bool) {
	var current any = t
	for _, p := range path {
		m, ok := current.(map[string]any)
		if !ok {
			return nil, false
		}
		if current, ok = m[p]; !ok {
			return nil, false
		}
	}
	return current, true
}

func allowedTables(known map[string]bool) string {
	var names []string
	for n := range known {
		names = append(names, "["+n+"]")
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Problems is a list of settings errors, printed one per line.
type Problems []string

// Error implements error.
func (p Problems) Error() string { return strings.Join(p, "\n") }

func problemList(p []string) error {
	if len(p) == 0 {
		return nil
	}
	slices.Sort(p)
	return Problems(p)
}
