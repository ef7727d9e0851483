package relay

import (
	"bytes"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/pieces"
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
		for _, size := range []int{0, 1, firstBufferBytes, smallAnswerBytes, smallAnswerBytes + 1, smallAnswerBytes + pieces.Bytes, 1 << 20, maxAnswerBytes - 1} {
			r := newAnswerRoom()
			want := strings.Repeat("x", size)
			body, held, err := r.readWhole(strings.NewReader(want), func() { Fail("given up") })
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body) == want).To(BeTrue(), "%d bytes", size)
			Expect(held.release()).To(BeFalse())
			Expect(r.room.Used()).To(BeZero())
		}
	})

	// Guards against a body without end that fills the memory of the process.
	It("ends an answer at the bound", func() {
		r, e := newAnswerRoom(), newEndless(0)
		_, _, err := r.readWhole(e, func() {})
		Expect(errors.Is(err, errAnswerTooLarge)).To(BeTrue(), "%v", err)
		Expect(e.read).To(BeNumerically("<", maxAnswerBytes+pieces.Bytes))
		Expect(r.room.Used()).To(BeZero())
	})

	// Guards against sound answers that fail because answers without end take all memory.
	It("gives up the largest answer for others", func() {
		r, slow := newAnswerRoom(), newEndless(maxAnswerBytes-pieces.Bytes)
		result := make(chan error)
		go func() {
			_, _, err := r.readWhole(slow, slow.giveUp)
			result <- err
		}()
		Eventually(slow.blocked).Should(BeClosed())
		for range 8 {
			body, held, err := r.readWhole(bytes.NewReader(make([]byte, 1<<20)), func() { Fail("given up") })
			Expect(err).NotTo(HaveOccurred())
			Expect(held.release()).To(BeFalse())
			Expect(body).To(HaveLen(1 << 20))
		}
		Consistently(result, "50ms").ShouldNot(Receive())
		others := []*endless{newEndless(roomBytes * 3 / 8), newEndless(roomBytes * 3 / 8)}
		for _, e := range others {
			go func() { _, _, _ = r.readWhole(e, func() { Fail("a smaller one is given up") }) }()
			Eventually(e.blocked).Should(BeClosed())
		}
		var err error
		Eventually(result).Should(Receive(&err))
		Expect(errors.Is(err, errNoRoom)).To(BeTrue(), "%v", err)
		for _, e := range others {
			e.giveUp()
		}
		Eventually(func() int64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.room.Used()
		}).Should(BeZero())
	})

	// Guards against clients that let an instance keep large answers which they do not read.
	It("keeps an answer until it is sent, and ends the sending of the largest for others", func() {
		r := newAnswerRoom()
		_, held, err := r.readWhole(bytes.NewReader(make([]byte, 3<<20)), func() { Fail("given up") })
		Expect(err).NotTo(HaveOccurred())
		unread := false
		Expect(held.send(func() { unread = true })).To(BeTrue())
		Expect(r.room.Used()).To(BeNumerically(">=", 3<<20-smallAnswerBytes))
		_, second, err := r.readWhole(bytes.NewReader(make([]byte, 2<<20)), func() { Fail("given up") })
		Expect(err).NotTo(HaveOccurred())
		Expect(unread).To(BeFalse())
		_, third, err := r.readWhole(bytes.NewReader(make([]byte, 2<<20)), func() { Fail("given up") })
		Expect(err).NotTo(HaveOccurred())
		Expect(unread).To(BeTrue())
		Expect(held.release()).To(BeTrue())
		Expect(second.release()).To(BeFalse())
		Expect(third.release()).To(BeFalse())
		Expect(r.room.Used()).To(BeZero())
	})

	It("stays within its size with many answers without end", func() {
		r := newAnswerRoom()
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				defer GinkgoRecover()
				var ended sync.Once
				gaveUp := make(chan struct{})
				_, _, err := r.readWhole(newEndless(0), func() { ended.Do(func() { close(gaveUp) }) })
				Expect(err).To(HaveOccurred())
				r.mu.Lock()
				defer r.mu.Unlock()
				Expect(r.room.Used()).To(BeNumerically("<=", roomBytes))
			})
		}
		all.Wait()
		Expect(r.room.Used()).To(BeZero())
		Expect(r.room.Holders()).To(BeZero())
		Expect(r.held).To(BeEmpty())
	})
})
