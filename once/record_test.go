package once

import (
	"strings"
	"testing"
)

// Load: a value of 16 MB of nested arrays under a name that is no field, which another writer
// left in the store. It is rejected, and the process goes on.
func TestDeeplyNestedRecordIsRejected(t *testing.T) {
	if err := decode("log/7", []byte("\x81\xa1x"+strings.Repeat("\x91", 16<<20)), &segment{}); err == nil {
		t.Error("the record is accepted")
	}
}
