//go:build review

// Package kit runs the cases of the review: it starts instances of the program as separate processes,
// the store and the workers as stand-ins, and clients, and checks one rule. It is built as a test binary
// that takes the name of a case, the repository and the folder of the case.
package kit

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var (
	began    = time.Now()
	recordMu sync.Mutex
	recordTo *os.File
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordTo, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// since is a time as record.txt shows it.
func since(t time.Time) float64 { return t.Sub(began).Seconds() }

// failure ends a case that could not run.
type failure struct{ err error }

func must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// cases by name. A case returns whether the rule was broken.
var cases = map[string]func(c *env) (isBroken bool){}

// env is what a case runs in.
type env struct {
	root, dir string
	// trouble is unset in the run without the disruption.
	trouble bool
	cleanup []func()
}

// onEnd has f called at the end of the case.
func (c *env) onEnd(f func()) { c.cleanup = append(c.cleanup, f) }

// TestMain implements the binary.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit CASE REPOSITORY FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) (code int) {
	f, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	recordTo = f
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	c := &env{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		c.onEnd(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println("logs in", dir)
	}
	defer func() {
		if p := recover(); p != nil {
			if f, ok := p.(failure); ok {
				p = f.err
			}
			record("could not run: %v", p)
			fmt.Println("could not run:", p)
			code = failed
		}
		for i := len(c.cleanup) - 1; i >= 0; i-- {
			c.cleanup[i]()
		}
	}()
	play, ok := cases[name]
	if !ok {
		panic(failure{fmt.Errorf("no case %q", name)})
	}
	if play(c) {
		record("RULE BROKEN")
		fmt.Println("rule broken, see record.txt")
		return broken
	}
	record("rule held")
	fmt.Println("rule held")
	return held
}
