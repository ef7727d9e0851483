package peerproxy

import (
	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/port/backend"
)

// checkListed implements backend.Guard: a server whose leaving became known after it was chosen gets no
// request.
func (p *PeerProxy) checkListed(to backend.Endpoint) error {
	if list := p.catalog.Servers(); list != nil && list.HasLeft(to.Server, to.Life) {
		return errors.Mark(errors.Newf("server %s left the list or leaves by its entry", to.Server), backend.ErrHeldBack)
	}
	return nil
}
