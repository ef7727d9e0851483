package storeserver

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// Endless is a part of an answer that goes on until the caller closes the connection.
type Endless string

// The parts.
const (
	EndlessHead    Endless = "head"
	EndlessInterim Endless = "interim"
	// EndlessBody is a list whose only object has no end, EndlessError the body of an error.
	EndlessBody  Endless = "body"
	EndlessError Endless = "error"
)

// endlessPiece is the size of the writes of an endless answer in bytes.
const endlessPiece = 16 << 10

// EndlessAnswers counts the answers without end that were closed.
func (s *Server) EndlessAnswers() int64 { return s.endless.Load() }

func (s *Server) answerEndless(c echo.Context, e Endless) error {
	conn, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	const ok = "HTTP/1.1 200 OK\r\n" + headerEra + ": 1\r\n"
	begin, unit := ok+"Content-Type: application/json\r\n\r\n{\"items\":[{\"metadata\":{\"name\":\"", "x"
	switch e {
	case EndlessHead:
		begin, unit = ok, "A: b\r\n"
	case EndlessInterim:
		begin, unit = "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	case EndlessError:
		begin, unit = "HTTP/1.1 500 Internal Server Error\r\n"+headerEra+": 1\r\n\r\n", "x"
	}
	_, err = conn.Write([]byte(begin))
	for piece := []byte(strings.Repeat(unit, endlessPiece/len(unit))); err == nil; {
		_, err = conn.Write(piece)
	}
	s.endless.Add(1)
	return nil
}
