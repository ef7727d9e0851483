package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// TestMain lets only one run of the package on a machine use its fixed ports.
func TestMain(m *testing.M) {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), "auburnmoor-e2e.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "waiting for other runs:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
