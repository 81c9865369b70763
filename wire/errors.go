package wire

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"lacewingmount.dev/errs"
)

const codeTyped = -32000 // an error of package errs; its fields travel in data

func encodeError(err error) error {
	typed := &errs.Error{Kind: errs.Unknown, Message: err.Error()}
	errors.As(err, &typed)
	data, marshalErr := json.Marshal(typed)
	if marshalErr != nil {
		return marshalErr
	}
	raw := json.RawMessage(data)
	return &jsonrpc2.Error{Code: codeTyped, Message: err.Error(), Data: &raw}
}

func decodeError(remote *jsonrpc2.Error) error {
	var typed errs.Error
	if remote.Code == codeTyped && remote.Data != nil && json.Unmarshal(*remote.Data, &typed) == nil {
		return errs.New(typed.Kind, typed.Message, typed.Remedy)
	}
	return errs.New(errs.Unknown, remote.Message, "run the same version on all VMs")
}
