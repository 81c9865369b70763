package wire

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"lacewingmount.dev/errs"
)

// codeApplicationError marks an error of package errs; its fields are in the data
// member of the JSON-RPC error.
const codeApplicationError = -32000

// encodeError converts err to a JSON-RPC error. An error that is not of package
// errs gets kind Unknown.
func encodeError(err error) error {
	typed := &errs.Error{Kind: errs.Unknown, Message: err.Error()}
	errors.As(err, &typed)
	data, marshalErr := json.Marshal(typed)
	if marshalErr != nil {
		return marshalErr
	}
	raw := json.RawMessage(data)
	return &jsonrpc2.Error{Code: codeApplicationError, Message: err.Error(), Data: &raw}
}

// decodeError is the inverse of encodeError. An error that encodeError did not make
// gets kind Unknown.
func decodeError(remote *jsonrpc2.Error) error {
	var typed errs.Error
	if remote.Code == codeApplicationError && remote.Data != nil && json.Unmarshal(*remote.Data, &typed) == nil {
		return errs.New(typed.Kind, typed.Message, typed.Remedy)
	}
	return errs.New(errs.Unknown, remote.Message, "run the same version on all VMs")
}
