// Package tcpopt sets TCP options that package net does not support.
package tcpopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT.
// A connection then fails when sent data is not acknowledged within d, as after a
// power loss of the peer or a partition; without it the connection hangs for minutes.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// An error does not prevent the connection: its user then detects a dead
			// peer by its own timeouts, only later.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// Buffers returns a Control function for net.ListenConfig that sets SO_RCVBUF and SO_SNDBUF, in bytes, of the
// connections of a listener. They bound what the kernel takes from a peer while nobody reads, and what it keeps for
// one that does not read.
func Buffers(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// An error leaves the buffer as it is.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		})
	}
}
