// Package eventlog writes structured log lines without ever holding up the
// goroutine that logs. A line that finds the writer blocked is dropped and
// counted.
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

// lines is how many lines may wait for the writer: a second of the busiest
// instance of a site of 350 (13 requests a second, 4 lines each) many times over.
const lines = 4096

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	ring    *ring.Ring[[]byte]
	idle    chan struct{}
	pending atomic.Int64
	// spared counts lines of success that were not written for want of room.
	spared atomic.Uint64
}

// NewWriter starts a writer to w.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{ring: ring.New[[]byte]("log", lines), idle: make(chan struct{}, 1)}
	go out.run(w)
	return out
}

// run writes lines, and how many were dropped once none waits any more.
func (w *Writer) run(to io.Writer) {
	told := uint64(0)
	for line := range w.ring.C() {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = to.Write(line)
		if w.pending.Add(-1) > 0 {
			continue
		}
		if n := w.Dropped(); n != told {
			told = n
			_, _ = fmt.Fprintf(to, "{\"level\":\"warn\",\"time\":%q,\"msg\":\"log lines dropped\",\"total\":%d}\n", time.Now().Format(time.RFC3339Nano), n)
		}
	}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	w.pending.Add(1)
	if !w.ring.Offer(append([]byte(nil), p...)) {
		w.pending.Add(-1)
	}
	return len(p), nil
}

// Dropped counts the lines that were lost.
func (w *Writer) Dropped() uint64 { return w.ring.Stats().Refusals + w.spared.Load() }

// flushFor bounds how long Sync waits for the writer.
const flushFor = 200 * time.Millisecond

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error {
	for end := time.Now().Add(flushFor); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// crowded is the share of the waiting lines from which lines of success are
// dropped, so that the rest is left to failures and changes of state.
const crowded = 0.5

// core drops lines at the info level that belong to a request while many lines
// wait. Lines of failures are warnings and are dropped only when the ring is full.
type core struct {
	zapcore.Core
	w *Writer
}

// With implements zapcore.Core.
func (c core) With(f []zapcore.Field) zapcore.Core { return core{c.Core.With(f), c.w} }

// Check implements zapcore.Core.
func (c core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level == zapcore.InfoLevel && float64(c.w.pending.Load()) > crowded*lines {
		c.w.spared.Add(1)
		return ce
	}
	return c.Core.Check(e, ce)
}

// New returns a logger of JSON lines.
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

// Error is a field with the text of an error. The stacks that the errors carry
// cost more to print than the rest of the line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
