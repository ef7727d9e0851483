package workerserver_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// pause is how long servers are silent, margin what it may take to notice.
const (
	pause  = 200 * time.Millisecond
	margin = 60 * time.Millisecond
)

// started starts a server that ends with the spec.
func started(cfg workerserver.Config) *workerserver.Server {
	cfg.ID, cfg.Addr = "w", "127.0.0.1:0"
	srv := workerserver.New(cfg)
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	return srv
}

// ask sends a request and returns the answer with its whole body.
func ask(srv *workerserver.Server, path, id string, header ...string) (*http.Response, string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, "http://"+srv.Addr()+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

var _ = Describe("A server that leaves", func() {
	DescribeTable("says so in", func(f workerserver.Fault, status int, header ...string) {
		srv := started(workerserver.Config{})
		srv.SetLeaving(true)
		srv.Inject(f)
		resp, _ := ask(srv, "/", "a", header...)
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get("Server-Leaving")).To(Equal("1"))
		Expect(srv.Arrivals()[0].Status).To(Equal(status))
		srv.SetLeaving(false)
		resp, _ = ask(srv, "/", "b")
		Expect(resp.Header).NotTo(HaveKey("Server-Leaving"))
	},
		Entry("an answer", workerserver.Fault(""), 200),
		Entry("a refusal", workerserver.Shed, 503),
		Entry("a failure", workerserver.NotFound, 404),
		Entry("an answer without a length", workerserver.Unframed, 200),
		Entry("an answer as another server", workerserver.Misdirected, 421),
		Entry("a refusal of a call to another server", workerserver.Fault(""), 421, "X-Expect-Instance", "other"),
	)
})

var _ = Describe("A server that asks for rest", func() {
	It("turns away the given number of requests of one sender and records all", func() {
		srv := started(workerserver.Config{})
		srv.SetRest("soon", workerserver.RestTimes(1), workerserver.RestSender("one"))
		var statuses []int
		for _, sender := range []string{"two", "one", "one"} {
			resp, _ := ask(srv, "/", "id-"+sender, workerserver.SenderHeader, sender)
			statuses = append(statuses, resp.StatusCode)
			if resp.StatusCode == 503 {
				Expect(resp.Header.Get("Retry-After")).To(Equal("soon"))
				Expect(resp.Header.Get("X-Not-Run")).To(Equal("1"))
			}
		}
		Expect(statuses).To(Equal([]int{200, 503, 200}))
		Expect(srv.Arrivals()).To(HaveLen(3))
		Expect(srv.Arrivals()[1]).To(HaveField("Status", 503))
		Expect(srv.Arrivals()[1]).To(HaveField("Sender", "one"))
	})

	It("turns away a share of the requests and serves health checks, unless told otherwise", func() {
		srv := started(workerserver.Config{})
		srv.SetRest("1", workerserver.RestShare(0.25))
		away := 0
		for range 8 {
			if resp, _ := ask(srv, "/", "id"); resp.StatusCode == 503 {
				away++
			}
		}
		Expect(away).To(Equal(2))
		resp, _ := ask(srv, "/health", "")
		Expect(resp.StatusCode).To(Equal(200))
		srv.SetRest("1", workerserver.RestHealth())
		resp, _ = ask(srv, "/health", "")
		Expect(resp.StatusCode).To(Equal(503))
	})
})

var _ = Describe("A silent server", func() {
	stream := workerserver.Config{Events: 4, EventPause: 5 * time.Millisecond}
	complete := func(id string) (all string) {
		for n := 1; n <= stream.Events; n++ {
			all += workerserver.Event(id, n)
		}
		return all
	}

	DescribeTable("goes on after its silence", func(at workerserver.SilencePoint) {
		srv := started(stream)
		srv.Silence(at, pause)
		began := time.Now()
		_, body := ask(srv, "/", "s")
		Expect(body).To(Equal(complete("s")))
		Expect(time.Since(began)).To(BeNumerically("~", pause, margin))
		Expect(srv.PendingSilences()).To(BeZero())
	},
		Entry("before it accepts", workerserver.BeforeAccept),
		Entry("before the head", workerserver.BeforeHead),
		Entry("after the head", workerserver.AfterHead),
		Entry("in the body", workerserver.InBody),
		Entry("in a chunk", workerserver.InChunk),
		Entry("in an event", workerserver.InEvent),
		Entry("between events", workerserver.BetweenEvents),
		Entry("before the end", workerserver.BeforeEnd),
	)

	It("may be silent several times in one answer", func() {
		srv := started(stream)
		srv.Silence(workerserver.BetweenEvents, pause)
		srv.Silence(workerserver.InEvent, pause)
		began := time.Now()
		_, body := ask(srv, "/", "s")
		Expect(body).To(Equal(complete("s")))
		Expect(time.Since(began)).To(BeNumerically("~", 2*pause, 2*margin))
	})

	It("neither reads nor answers other requests, unless one answer alone is silent", func() {
		srv := started(workerserver.Config{})
		srv.SilenceNow(pause)
		began := time.Now()
		ask(srv, "/", "a")
		Expect(time.Since(began)).To(BeNumerically("~", pause, margin))
		srv.SilenceAnswer(workerserver.BeforeHead, pause)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			ask(srv, "/", "b")
		}()
		Eventually(srv.PendingSilences).Should(BeZero())
		began = time.Now()
		ask(srv, "/", "c")
		Expect(time.Since(began)).To(BeNumerically("<", margin))
		Eventually(done).Should(BeClosed())
	})
})
