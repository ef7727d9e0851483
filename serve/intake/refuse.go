package intake

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Refuse answers a request whose body was not read, with the headers set so far, and closes its connection. net/http
// would first read on, or wait for half a second with the place of the connection.
func Refuse(w http.ResponseWriter, r *http.Request, status int, body []byte) error {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	h := w.Header()
	h.Del("Connection")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: h, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	err = resp.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	return err
}
