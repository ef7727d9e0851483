package workerserver_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

func TestWorkerServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "worker server")
}

const (
	prefill      = 100 * time.Millisecond
	restartAfter = 50 * time.Millisecond
)

var _ = Describe("A crash", func() {
	var (
		srv      *workerserver.Server
		restarts chan struct{}
	)

	BeforeEach(func() {
		restarts = make(chan struct{}, 16)
		srv = workerserver.New(workerserver.Config{
			ID: "w", Addr: "127.0.0.1:0", Prefill: prefill, RestartAfter: restartAfter,
			OnRestart: func() { restarts <- struct{}{} },
		})
		srv.SetDeadlyParts("deadly")
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
	})

	post := func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+srv.Addr()+"/", nil)
		Expect(err).ToNot(HaveOccurred())
		req.Header.Set("X-Prompt-Prefix", "deadly:10,last:10")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}

	It("by several requests at once ends the server once and restarts it once", func() {
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(post()).To(HaveOccurred())
			})
		}
		all.Wait()
		Eventually(restarts, time.Second).Should(Receive())
		Expect(srv.Crashes()).To(Equal(1))
		Consistently(restarts, 3*restartAfter).ShouldNot(Receive())
	})

	It("shortly before the server is closed does not restart it", func() {
		Expect(post()).To(HaveOccurred())
		srv.Close()
		Consistently(restarts, 3*restartAfter).ShouldNot(Receive())
		Expect(post()).To(MatchError(ContainSubstring("refused")))
	})
})
