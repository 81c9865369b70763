package scenario

import (
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdUUID stores a new UUIDv7 in each of the named variables.
func cmdUUID(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		id, err := uuid.NewV7()
		ts.Check(err)
		ts.Setenv(name, id.String())
	}
}
