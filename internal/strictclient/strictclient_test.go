package strictclient_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/strictclient"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/rawserver"
)

func TestStrictClient(t *testing.T) { testkit.Suite(t, "strictclient") }

const (
	plays       = 40
	uploadBytes = 4 << 20
	resetAfter  = 5 * time.Millisecond
)

// Guards against answers of the outside systems that are taken for whole, or for answers, and are not.
var _ = Describe("a client of the standard library that is strict", func() {
	var (
		srv *rawserver.Server
		cl  *http.Client
	)
	BeforeEach(func() {
		srv = new(rawserver.Server)
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
		cl = &http.Client{Transport: strictclient.New(new(http.Transport), &net.Dialer{Timeout: time.Second}), Timeout: 10 * time.Second}
		DeferCleanup(cl.CloseIdleConnections)
	})
	send := func(bodyBytes int) (string, error) {
		resp, err := cl.Post("http://"+srv.Addr()+"/", "text/plain", bytes.NewReader(make([]byte, bodyBytes)))
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		return string(raw), err
	}
	const ok = "HTTP/1.1 200 OK\r\n"

	DescribeTable("reads whole answers", func(script rawserver.Script, bodyBytes int) {
		srv.Play(script)
		for range plays {
			body, err := send(bodyBytes)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	},
		Entry("with a length", rawserver.Script{Answer: ok + "Content-Length: 5\r\n\r\nwhole"}, 10),
		Entry("without a length", rawserver.Script{Answer: ok + "\r\nwhole", End: rawserver.Close}, 10),
		Entry("after an interim answer", rawserver.Script{Answer: "HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole"}, 10),
		Entry("with a length under an upload", rawserver.Script{Answer: ok + "Content-Length: 5\r\n\r\nwhole", Early: true}, uploadBytes),
		Entry("without a length under an upload that is read on", rawserver.Script{Answer: ok + "\r\nwhole", Early: true, End: rawserver.CloseWrite}, uploadBytes),
	)

	DescribeTable("takes no part for a whole answer", func(end rawserver.End) {
		srv.Play(rawserver.Script{Answer: ok + "\r\npart", Early: true, End: end, Pause: resetAfter})
		for range plays {
			_, err := send(uploadBytes)
			Expect(err).To(HaveOccurred())
		}
	},
		Entry("reset under an upload", rawserver.Reset),
		Entry("left with the upload unread", rawserver.Abandon),
	)

	DescribeTable("takes no answer that is none", func(answer string) {
		srv.Play(rawserver.Script{Answer: answer, End: rawserver.Close})
		_, err := send(10)
		Expect(errors.Is(err, strictclient.ErrInvalidAnswer)).To(BeTrue(), "%v", err)
	},
		Entry("of status 000", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n"),
		Entry("of status 000 before another", "HTTP/1.1 000 \r\n\r\n"+ok+"Content-Length: 0\r\n\r\n"),
		Entry("of status 600", "HTTP/1.1 600 \r\nContent-Length: 0\r\n\r\n"),
		Entry("with a blank in a name", ok+"X Note: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a blank before the colon of a length", ok+"Content-Length : 4\r\n\r\n8 bytes."),
		Entry("with an interim answer that has a blank in a name", "HTTP/1.1 103 Early\r\nX Note: 1\r\n\r\n"+ok+"Content-Length: 0\r\n\r\n"),
	)
})
