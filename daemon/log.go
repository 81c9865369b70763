package daemon

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one line of key=value pairs per event
// to standard error. Every line contains the program and its VM.
func NewLogger(program, vm string) *zap.Logger {
	return newLogger(program, vm, zapcore.Lock(os.Stderr))
}

func newLogger(program, vm string, out zapcore.WriteSyncer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), out, zapcore.InfoLevel)
	return zap.New(messageOnlyErrors{core}).With(zap.String("program", program), zap.String("vm", vm))
}

// messageOnlyErrors is a Core that logs only the message of an error. Without it,
// each error with a stack trace adds a field with the whole trace.
type messageOnlyErrors struct {
	zapcore.Core
}

// Check implements zapcore.Core.
func (c messageOnlyErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// With implements zapcore.Core.
func (c messageOnlyErrors) With(fields []zapcore.Field) zapcore.Core {
	return messageOnlyErrors{c.Core.With(errorsToMessages(fields))}
}

// Write implements zapcore.Core.
func (c messageOnlyErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, errorsToMessages(fields))
}

// errorsToMessages returns the fields with each error replaced by its message.
func errorsToMessages(fields []zapcore.Field) []zapcore.Field {
	replaced := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		replaced[i] = field
	}
	return replaced
}
