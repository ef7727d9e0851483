// Package netfault distinguishes network errors before a byte was sent from later
// ones.
package netfault

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Mark marks err as notSent if the connection attempt failed, so that no byte can
// have reached the server, and as broken otherwise.
func Mark(err, notSent, broken error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, notSent)
	}
	return errors.Mark(err, broken)
}
