//go:build review

package stage

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, began: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.out.Close() }
