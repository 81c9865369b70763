package errs

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestErrorNamesCauseAndRemedy(t *testing.T) {
	err := Wrap(io.ErrUnexpectedEOF, Ambiguous, "no answer", "read it back")
	if err.Error() != "no answer: unexpected EOF; read it back" {
		t.Errorf("message %q", err)
	}
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Error("the cause is lost")
	}
}

func TestKindIsThatOfTheOutermostTypedError(t *testing.T) {
	inner := New(Conflict, "changed", "read again")
	for name, test := range map[string]struct {
		err  error
		want Kind
	}{
		"typed":   {inner, Conflict},
		"context": {errors.Wrap(inner, "context"), Conflict},
		"outer":   {Wrap(inner, Unavailable, "no answer", "try again"), Unavailable},
		"plain":   {io.EOF, Unknown},
		"none":    {nil, Unknown},
	} {
		if got := KindOf(test.err); got != test.want {
			t.Errorf("%s: kind %s, want %s", name, got, test.want)
		}
	}
}
