package workerserver

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Faults that send bytes without end, until the caller closes the connection.
const (
	// EndlessHead sends header lines, EndlessLine one header line.
	EndlessHead Fault = "endless_head"
	EndlessLine Fault = "endless_line"
	// SlowHead sends a header line byte by byte.
	SlowHead Fault = "slow_head"
	// PausedHead is silent for headPause inside the head, then sends the whole answer.
	PausedHead Fault = "paused_head"
	// EndlessInterim sends interim answers.
	EndlessInterim Fault = "endless_interim"
	// EndlessTrailer sends a whole body in chunks, then trailers.
	EndlessTrailer Fault = "endless_trailer"
	// EndlessExtension sends an extension of a chunk.
	EndlessExtension Fault = "endless_extension"
	// EndlessEvent sends a first event, then one without an end.
	EndlessEvent Fault = "endless_event"
	// EndlessBody sends a body without a length, EndlessChunks one in chunks.
	EndlessBody   Fault = "endless_body"
	EndlessChunks Fault = "endless_chunks"
	// EndlessAfter sends bytes after a whole answer.
	EndlessAfter Fault = "endless_after"
)

// EndlessFaults are the faults of answers that never become whole.
var EndlessFaults = []Fault{EndlessHead, EndlessLine, EndlessInterim, EndlessTrailer, EndlessExtension, EndlessEvent, EndlessBody, EndlessChunks}

const (
	// endlessPiece is the size of the writes of an endless answer in bytes, endlessPause the time between
	// two of them.
	endlessPiece = 16 << 10
	endlessPause = 10 * time.Millisecond
	// headPause is the silence of PausedHead.
	headPause = 2 * time.Second
)

// EndlessAnswer is an answer without end that its caller has closed.
type EndlessAnswer struct {
	Fault Fault
	// Sent is the number of its bytes that the kernel took, Lasted the time from its first byte to the close.
	Sent   int64
	Lasted time.Duration
}

// EndlessAnswers returns the answers without end that were closed.
func (s *Server) EndlessAnswers() []EndlessAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.endlessAnswers)
}

// repeated is what an endless answer repeats.
func repeated(f Fault) string {
	switch f {
	case EndlessHead, EndlessTrailer:
		return "A: b\r\n"
	case EndlessInterim:
		return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	case EndlessChunks:
		return "400\r\n" + strings.Repeat("c", 1<<10) + "\r\n"
	case EndlessEvent:
		return "400\r\n" + strings.Repeat("e", 1<<10) + "\r\n"
	default:
		return "x"
	}
}

// beginning is what an endless answer begins with.
func (s *Server) beginning(id string, f Fault) string {
	status := "HTTP/1.1 200 OK\r\n"
	signed := status + "X-Request-Id: " + id + "\r\nX-Response-Seal: " + Seal(s.cfg.ID, id) + "\r\n"
	chunked := signed + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := func(data string) string { return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n" }
	whole := signed + "Content-Length: " + strconv.Itoa(len(Body(id))) + "\r\n\r\n" + Body(id)
	switch f {
	case EndlessHead:
		return signed
	case EndlessLine, SlowHead:
		return signed + "A: "
	case EndlessTrailer:
		return chunked + chunk(Body(id)) + "0\r\n"
	case EndlessExtension:
		return chunked + "5;x="
	case EndlessEvent:
		return signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(Event(id, 1)) + chunk("id: 2\ndata: ")
	case EndlessChunks:
		return chunked
	case EndlessBody:
		return signed + "\r\n"
	case EndlessAfter, PausedHead:
		return whole
	default:
		return ""
	}
}

// writeEndless writes an answer without end.
func (s *Server) writeEndless(w http.ResponseWriter, id string, f Fault) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	begun := time.Now()
	head := s.beginning(id, f)
	if f == PausedHead {
		_, _ = c.Write([]byte(head[:20]))
		time.Sleep(headPause)
		_, _ = c.Write([]byte(head[20:]))
		return
	}
	sent, err := c.Write([]byte(head))
	total := int64(sent)
	if err == nil {
		total += sendUntilClosed(c, f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessAnswers = append(s.endlessAnswers, EndlessAnswer{Fault: f, Sent: total, Lasted: time.Since(begun)})
}

// sendUntilClosed repeats the bytes of a fault until the connection is closed and returns their number.
func sendUntilClosed(c net.Conn, f Fault) (total int64) {
	unit := repeated(f)
	piece := []byte(strings.Repeat(unit, max(1, endlessPiece/len(unit))))
	if f == SlowHead {
		piece = []byte(unit)
	}
	for {
		n, err := c.Write(piece)
		total += int64(n)
		if err != nil {
			return total
		}
		// Bodies may be large and are sent as fast as they are read.
		if f != EndlessBody && f != EndlessChunks {
			time.Sleep(endlessPause)
		}
	}
}
