package relay

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
	"github.com/auburnmoor/auburnmoor/decide/route"
)

// evacuate takes the servers of the given data centres out of use. Each server is in the data centre that
// has its ID as its name.
func (x *scriptedExchange) evacuate(dataCentres ...string) {
	var listed []backends.Server
	for _, s := range x.relay.catalog.Servers().All() {
		s.DataCentre = s.ID
		listed = append(listed, s)
	}
	set := backends.NewSet()
	set.Replace(x.relay.now(), listed, position.Position{})
	set.SetEvacuated(x.relay.now(), dataCentres, false)
	x.relay.catalog.Fix(set.Snapshot())
}

var _ = Describe("a request while data centres are evacuated", func() {
	// Guards against requests that wait for a permit of a server for seconds and are sent although the
	// server went out of use meanwhile.
	It("is not placed on a server that was evacuated while it waited for a permit", func() {
		x := newScripted(route.Idempotent, allRetries, script{status: http.StatusOK})
		server := x.relay.catalog.Servers().Ready("s")[0]
		_, placed := x.placeGranted(server)
		Expect(placed).To(BeTrue())
		x.evacuate(server.ID)
		_, placed = x.placeGranted(server)
		Expect(placed).To(BeFalse())
	})
})
