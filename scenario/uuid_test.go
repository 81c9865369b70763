package scenario

import (
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

func cmdUUID(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		id, err := uuid.NewV7()
		ts.Check(err)
		ts.Setenv(name, id.String())
	}
}
