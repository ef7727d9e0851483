package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Runs of the package on one machine use ranges of ports of their own, below those that the
// kernel gives to clients.
const (
	portRanges     = 5
	portsInRange   = 3_000
	rangePollPause = 100 * time.Millisecond
)

// portShift is added to the fixed ports of all specs.
var portShift int

// TestMain waits for a free range of ports. The lock is held until the process ends.
func TestMain(m *testing.M) {
	for n := 0; !acquirePorts(n); n = (n + 1) % portRanges {
		time.Sleep(rangePollPause / portRanges)
	}
	os.Exit(m.Run())
}

// acquirePorts reports whether this run now uses the nth range of ports.
func acquirePorts(n int) bool {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("auburnmoor-e2e-%d.lock", n))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lock of the ports:", err)
		os.Exit(1)
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err != nil && !errors.Is(err, unix.EWOULDBLOCK) {
		fmt.Fprintln(os.Stderr, "lock of the ports:", err)
		os.Exit(1)
	}
	if err != nil {
		_ = f.Close()
		return false
	}
	heldLock, portShift = f, n*portsInRange
	return true
}

// heldLock keeps the file of the lock open.
var heldLock *os.File
