package objectapi_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/rawserver"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
)

func TestObjectAPI(t *testing.T) { testkit.Suite(t, "object API") }

var _ = Describe("a write to the object API", func() {
	// Guards against writes that count as accepted because of an answer that is none.
	It("is of unknown outcome if the status is 000", func(ctx context.Context) {
		srv := new(rawserver.Server)
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
		srv.Play(rawserver.Script{Answer: "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", End: rawserver.Close})
		_, err := objectapi.NewClient(srv.Addr()).Put(ctx, "k", []byte("v"), 0)
		Expect(errors.Is(err, objectapi.ErrUnknown)).To(BeTrue(), "%v", err)
	}, NodeTimeout(10*time.Second))
})
