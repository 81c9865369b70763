package daemon

import (
	"bytes"
	"regexp"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lacewingmount.dev/errs"
)

func TestLogLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	log := newLogger("lacewing-entry", "vm-1", zapcore.AddSync(&out))
	log.Warn("store lost", zap.Error(errs.New(errs.Unavailable, "no answer", "check the \"network\"\nnow")), zap.Int("tries", 3))
	line := out.String()
	pairs := regexp.MustCompile(`^([a-z_]+=("([^"\\]|\\.)*"|[^ "]*)[ \n])+$`)
	if !pairs.MatchString(line) || bytes.Count(out.Bytes(), []byte("\n")) != 1 {
		t.Fatalf("not one line of key=value pairs: %q", line)
	}
}
