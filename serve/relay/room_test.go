package relay

import (
	"bytes"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endless is a body without end. Once it was given up it fails.
type endless struct {
	read int
	// blockAt is the number of bytes after which it blocks until it is given up, zero for never.
	blockAt int
	blocked chan struct{}
	gaveUp  chan struct{}
}

func newEndless(blockAt int) *endless {
	return &endless{blockAt: blockAt, blocked: make(chan struct{}), gaveUp: make(chan struct{})}
}

func (e *endless) giveUp() { close(e.gaveUp) }

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	if e.blockAt > 0 && e.read >= e.blockAt {
		close(e.blocked)
		<-e.gaveUp
		return 0, io.ErrUnexpectedEOF
	}
	n := len(p)
	if e.blockAt > 0 {
		n = min(n, e.blockAt-e.read)
	}
	e.read += n
	return n, nil
}

var _ = Describe("the memory for whole answers", func() {
	It("holds an answer of any size up to the bound", func() {
		for _, size := range []int{0, 1, firstBufferBytes, smallAnswerBytes, smallAnswerBytes + 1, smallAnswerBytes + pieceBytes, 1 << 20, maxAnswerBytes - 1} {
			r := &room{}
			want := strings.Repeat("x", size)
			body, err := r.readWhole(strings.NewReader(want), func() { Fail("given up") })
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body) == want).To(BeTrue(), "%d bytes", size)
			Expect(r.used).To(BeZero())
		}
	})

	// Guards against a body without end that fills the memory of the process.
	It("ends an answer at the bound", func() {
		r, e := &room{}, newEndless(0)
		_, err := r.readWhole(e, func() {})
		Expect(errors.Is(err, errAnswerTooLarge)).To(BeTrue(), "%v", err)
		Expect(e.read).To(BeNumerically("<", maxAnswerBytes+pieceBytes))
		Expect(r.used).To(BeZero())
	})

	// Guards against sound answers that fail because answers without end take all memory.
	It("gives up the largest answer for others", func() {
		r, slow := &room{}, newEndless(maxAnswerBytes-pieceBytes)
		result := make(chan error)
		go func() {
			_, err := r.readWhole(slow, slow.giveUp)
			result <- err
		}()
		Eventually(slow.blocked).Should(BeClosed())
		for range 8 {
			body, err := r.readWhole(bytes.NewReader(make([]byte, 1<<20)), func() { Fail("given up") })
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(1 << 20))
		}
		Consistently(result, "50ms").ShouldNot(Receive())
		others := []*endless{newEndless(roomBytes * 3 / 8), newEndless(roomBytes * 3 / 8)}
		for _, e := range others {
			go func() { _, _ = r.readWhole(e, func() { Fail("a smaller one is given up") }) }()
			Eventually(e.blocked).Should(BeClosed())
		}
		var err error
		Eventually(result).Should(Receive(&err))
		Expect(errors.Is(err, errNoRoom)).To(BeTrue(), "%v", err)
		for _, e := range others {
			e.giveUp()
		}
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.used
		}).Should(BeZero())
	})

	It("stays within its size with many answers without end", func() {
		r := &room{}
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				defer GinkgoRecover()
				var ended sync.Once
				gaveUp := make(chan struct{})
				_, err := r.readWhole(newEndless(0), func() { ended.Do(func() { close(gaveUp) }) })
				Expect(err).To(HaveOccurred())
				r.mu.Lock()
				defer r.mu.Unlock()
				Expect(r.used).To(BeNumerically("<=", roomBytes))
			})
		}
		all.Wait()
		Expect(r.used).To(BeZero())
		Expect(r.holders).To(BeEmpty())
	})
})
