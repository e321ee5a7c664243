package main

import (
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes JSON lines. It does not sample, because
// every event is either rare or rate-limited where it is logged.
func newLogger(level string, w io.Writer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	return newLoggerAt(l, zapcore.Lock(zapcore.AddSync(w))), nil
}

// newLoggerAt returns a logger that writes JSON lines. The level can change at run
// time.
func newLoggerAt(level zapcore.LevelEnabler, w zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level))
}
