package gateway

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are queued for the output. Further lines
	// are dropped and counted, so that a slow output never delays a request.
	maxQueuedLines = 2048

	// maxLinesPerSecond bounds the rate of written lines, after a burst of maxQueuedLines.
	maxLinesPerSecond = 200

	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// LogWriter writes log lines in the background, at a limited rate. Its Write never blocks.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewLogWriter returns a LogWriter. Lines are queued until Run is called.
func NewLogWriter(out io.Writer) *LogWriter {
	return &LogWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line. If the queue is full, the line is dropped and counted.
func (l *LogWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped and are not yet reported.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx is cancelled, then writes the lines that are still queued.
func (l *LogWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	tokens := maxQueuedLines
	for {
		var lines chan []byte
		if tokens > 0 {
			lines = l.lines
		}
		select {
		case line := <-lines:
			tokens--
			if _, err := l.out.Write(line); err != nil {
				return err
			}
		case <-ticker.C:
			tokens = min(tokens+maxLinesPerSecond, maxQueuedLines)
			if err := l.report(); err != nil {
				return err
			}
		case <-ctx.Done():
			return l.flush()
		}
	}
}

// report writes the number of lines that were dropped since the last report.
func (l *LogWriter) report() error {
	n := l.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(l.out, "event=log_lines_dropped count=%d\n", n)
	return err
}

func (l *LogWriter) flush() error {
	for {
		select {
		case line := <-l.lines:
			if _, err := l.out.Write(line); err != nil {
				return err
			}
		default:
			return l.report()
		}
	}
}
