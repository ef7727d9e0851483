package service_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/rawserver"
	"github.com/auburnmoor/auburnmoor/port/service"
)

func TestService(t *testing.T) { testkit.Suite(t, "service") }

var _ = Describe("a call to a plain service", func() {
	// Guards against parts of answers, and answers that are none, which callers get as successes.
	DescribeTable("is broken by", func(ctx context.Context, script rawserver.Script, bodyBytes int) {
		srv := new(rawserver.Server)
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
		srv.Play(script)
		for range 20 {
			_, err := service.NewClient(time.Second).Do(ctx, srv.Addr(), service.Call{Method: "POST", Path: "/", Body: make([]byte, bodyBytes)})
			Expect(errors.Is(err, service.ErrBroken)).To(BeTrue(), "%v", err)
		}
	},
		Entry("a reset under the upload", rawserver.Script{Answer: "HTTP/1.1 200 OK\r\n\r\npart", Early: true, End: rawserver.Reset, Pause: 5 * time.Millisecond}, 4<<20, NodeTimeout(20*time.Second)),
		Entry("status 000", rawserver.Script{Answer: "HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwhole", End: rawserver.Close}, 10, NodeTimeout(20*time.Second)),
		Entry("a blank before the colon of the length", rawserver.Script{Answer: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n8 bytes.", End: rawserver.Close}, 10, NodeTimeout(20*time.Second)),
	)
})
