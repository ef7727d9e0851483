// Package crowd plays clients that do not behave: they hold connections, heads and bodies for as long as they are let,
// or read no answers. Their number and their time are bounded.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Member is what one client sends on a connection. It returns once it has sent all that it wants to.
type Member func(w io.Writer) error

// Request is the head that clients send, without its framing.
type Request struct {
	Path, Host, Key string
	// IDPrefix begins the IDs of the requests.
	IDPrefix string
	// Header are further lines of the head, each with its end.
	Header string
}

var requests atomic.Int64

// Post returns the head of a request with a body.
func (r Request) Post(framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\n%sAuthorization: Bearer %s\r\n%s\r\n\r\n",
		r.Path, r.Host, r.IDPrefix, requests.Add(1), r.Header, r.Key, framing)
}

// Sizes in bytes of what clients send.
const (
	piece       = 64 << 10
	largeChunk  = 256 << 10
	headerLine  = 1 << 10
	aheadBody   = 1000
	writeBuffer = 64 << 10
)

// Announced sends all but the last byte of a body with a length, in pieces with a pause between them.
func (r Request) Announced(length int, pause time.Duration) Member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, r.Post(fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return repeat(w, length-1, piece, pause, "", "")
	}
}

// Chunked sends a body in chunks without the last one.
func (r Request) Chunked(length, chunk int) Member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, r.Post("Transfer-Encoding: chunked")); err != nil {
			return err
		}
		b := bufio.NewWriterSize(w, writeBuffer)
		if err := repeat(b, length, chunk, 0, fmt.Sprintf("%x\r\n", chunk), "\r\n"); err != nil {
			return err
		}
		return b.Flush()
	}
}

// Whole sends a complete body.
func (r Request) Whole(length int) Member {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, r.Post(fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return repeat(w, length, piece, 0, "", "")
	}
}

// JSON sends a complete body of about the given length that repeats a text.
func (r Request) JSON(length int, before, repeated, after string) Member {
	body := before + strings.Repeat(repeated, (length-len(before)-len(after))/len(repeated)) + after
	return func(w io.Writer) error {
		_, err := io.WriteString(w, r.Post(fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err
	}
}

// repeat writes a number of bytes in pieces, each of them between two strings.
func repeat(w io.Writer, length, piece int, pause time.Duration, before, after string) error {
	raw := []byte(before + strings.Repeat("x", piece) + after)
	for sent := 0; sent < length; sent += piece {
		if length-sent < piece {
			raw = []byte(strings.Repeat("x", length-sent))
		}
		if _, err := w.Write(raw); err != nil {
			return err
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}

// Headers sends headers without an end.
func (r Request) Headers(length int) Member {
	return func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\n", r.Path, r.Host); err != nil {
			return err
		}
		const name = "X-Filler-%07d: "
		for n := 0; n < length; n += headerLine {
			line := fmt.Sprintf(name, n)
			if _, err := io.WriteString(w, line+strings.Repeat("y", headerLine-len(line)-2)+"\r\n"); err != nil {
				return err
			}
		}
		return nil
	}
}

// aheadFor is how long a client that sends ahead takes for it.
const aheadFor = 2 * time.Second

// Ahead sends a request and further ones behind it, without waiting for an answer.
func (r Request) Ahead(length int) Member {
	return func(w io.Writer) error {
		request := r.Post(fmt.Sprintf("Content-Length: %d", aheadBody)) + strings.Repeat("x", aheadBody)
		if _, err := io.WriteString(w, request); err != nil {
			return err
		}
		go func() {
			for range length / len(request) {
				if _, err := io.WriteString(w, request); err != nil {
					// What does not fit anywhere is not taken: that is no error here.
					return
				}
			}
		}()
		time.Sleep(aheadFor)
		return nil
	}
}

// Silent sends nothing.
func Silent(io.Writer) error { return nil }

// turnPause is the pause between two clients that send one after the other.
const turnPause = 50 * time.Millisecond

// OneByOne has one client after another send.
func OneByOne(m Member) Member {
	var turn sync.Mutex
	return func(w io.Writer) error {
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(turnPause)
		return m(w)
	}
}
