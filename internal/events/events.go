// Package events logs numbered events with zap. The number of an event never
// changes; docs/events.md lists all events for operators.
package events

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique and never reused.
	Number int
	Level  zapcore.Level
	// Message is the constant text of the line; details go into fields.
	Message string
	// Action tells an operator what to do, or "none".
	Action string
	// PerSecond limits the lines of an event that any request may cause; zero
	// means no limit. The next line written says how many were suppressed.
	PerSecond int
}

// Logger writes events and applies their rate limits.
type Logger struct {
	z      *zap.Logger
	limits *limits
}

// New returns a Logger that writes to z.
func New(z *zap.Logger) *Logger {
	return &Logger{z: z, limits: &limits{byEvent: map[int]*limit{}}}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(zap.NewNop()) }

// With returns a Logger that adds fields to every event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	return &Logger{z: l.z.With(fields...), limits: l.limits}
}

// Log writes one event.
func (l *Logger) Log(e Event, fields ...zap.Field) {
	if !l.z.Core().Enabled(e.Level) {
		return
	}
	if e.PerSecond > 0 {
		suppressed, ok := l.limits.allow(e)
		if !ok {
			return
		}
		if suppressed > 0 {
			fields = append(fields, zap.Int64("suppressed", suppressed))
		}
	}
	if ce := l.z.Check(e.Level, e.Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

// ErrorMessage returns a field with the message of an error, without the call
// stack that zap.Error would add.
func ErrorMessage(err error) zap.Field { return zap.String("error", err.Error()) }
