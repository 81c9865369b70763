package daemon

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one line of key=value pairs per event
// to standard error, each with the program and its VM.
func NewLogger(program, vm string) *zap.Logger {
	return newLogger(program, vm, zapcore.Lock(os.Stderr))
}

func newLogger(program, vm string, out zapcore.WriteSyncer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), out, zapcore.InfoLevel)
	return zap.New(plainErrors{core}).With(zap.String("program", program), zap.String("vm", vm))
}

// plainErrors logs errors by their message alone. Without it, each error that
// carries a stack trace adds a field with the whole trace.
type plainErrors struct {
	zapcore.Core
}

// Check implements zapcore.Core.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Write implements zapcore.Core.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	replaced := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		replaced[i] = field
	}
	return replaced
}
