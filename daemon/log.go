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
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(os.Stderr), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("program", program), zap.String("vm", vm))
}
