// Package tcpopt sets options of TCP connections that package net does not know.
package tcpopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function of net.Dialer. It ends a connection
// whose bytes are not acknowledged within d, as of a peer that lost power or
// behind a partition; without it such a connection hangs for minutes.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A failure is no reason not to connect: the timers of whoever uses the
			// connection then notice a dead peer, only later.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}
