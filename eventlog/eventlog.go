// Package eventlog writes structured log lines without blocking the goroutine that
// logs. Lines are queued, and dropped and counted if the queue is full.
package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/auburnmoor/auburnmoor/ring"
)

// maxPending bounds the queued lines. The busiest of 350 instances logs some 50 lines a
// second (13 requests with 4 lines each).
const maxPending = 4096

// maxPendingBytes bounds the queued lines in bytes: requests and paths of clients stand in them.
const maxPendingBytes = 4 << 20

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	ring    *ring.Ring[[]byte]
	idle    chan struct{}
	pending atomic.Int64
	// bytes is the size of the queued lines.
	bytes atomic.Int64
	// shed counts the info lines that were dropped early to keep room for failures, and all lines beyond
	// maxPendingBytes.
	shed atomic.Uint64
}

// NewWriter starts a writer to w.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{ring: ring.New[[]byte]("log", maxPending), idle: make(chan struct{}, 1)}
	go out.run(w)
	return out
}

// run writes the queued lines and, each time the queue is empty, the number of newly
// dropped ones.
func (w *Writer) run(to io.Writer) {
	reported := uint64(0)
	for line := range w.ring.C() {
		// A failure to write the log cannot be reported anywhere.
		_, _ = to.Write(line)
		w.bytes.Add(-int64(len(line)))
		if w.pending.Add(-1) > 0 {
			continue
		}
		if n := w.Dropped(); n != reported {
			reported = n
			_, _ = fmt.Fprintf(to, "{\"level\":\"warn\",\"time\":%q,\"msg\":\"log lines dropped\",\"total\":%d}\n", time.Now().Format(time.RFC3339Nano), n)
		}
	}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	size := int64(len(p))
	if w.bytes.Add(size) > maxPendingBytes {
		w.bytes.Add(-size)
		w.shed.Add(1)
		return len(p), nil
	}
	w.pending.Add(1)
	if !w.ring.Offer(append([]byte(nil), p...)) {
		w.pending.Add(-1)
		w.bytes.Add(-size)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were lost.
func (w *Writer) Dropped() uint64 { return w.ring.Stats().Refusals + w.shed.Load() }

// flushTimeout bounds how long Sync waits for queued lines.
const flushTimeout = 200 * time.Millisecond

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error {
	for deadline := time.Now().Add(flushTimeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// shedThreshold is the fill ratio of the queue above which info lines are dropped, so
// that the rest is left to failures and state changes.
const shedThreshold = 0.5

// core drops lines at the info level while the queue is filled above shedThreshold.
// Failures are logged as warnings and are dropped only when the queue is full.
type core struct {
	zapcore.Core
	w *Writer
}

// With implements zapcore.Core.
func (c core) With(f []zapcore.Field) zapcore.Core { return core{c.Core.With(f), c.w} }

// Check implements zapcore.Core.
func (c core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level == zapcore.InfoLevel && float64(c.w.pending.Load()) > shedThreshold*maxPending {
		c.w.shed.Add(1)
		return ce
	}
	return c.Core.Check(e, ce)
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = millis
	return zap.New(core{zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, zapcore.InfoLevel), w})
}

// millis renders durations as milliseconds with three decimals.
func millis(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d.Microseconds()) / 1000)
}

// Error returns a field with the message of an error. The stack traces that the errors
// carry cost more to print than the rest of the line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
