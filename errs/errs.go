// Package errs defines the error kinds shared by all programs. Each error says what
// failed and what to do about it, so that an operator can act on the message alone.
package errs

import "github.com/cockroachdb/errors"

// Kind classifies an error by what the caller can do about it.
type Kind string

// Error kinds.
const (
	// Unknown is the kind of an error that was not created by this package.
	Unknown Kind = "unknown"
	// Invalid means that the input is wrong and must be changed.
	Invalid Kind = "invalid"
	// NotFound means that the named item does not exist.
	NotFound Kind = "not-found"
	// Conflict means that another change to the item was applied first.
	Conflict Kind = "conflict"
	// Unavailable means that the operation was not performed and may be retried.
	Unavailable Kind = "unavailable"
	// Ambiguous means that the operation may or may not have been performed.
	Ambiguous Kind = "ambiguous"
	// Denied means that the credential does not allow the operation.
	Denied Kind = "denied"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
}

// Error returns the message, the cause if there is one, and the remedy.
func (e *Error) Error() string {
	text := e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind that carries a stack trace.
func New(kind Kind, message, remedy string) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: message, Remedy: remedy}, 1)
}

// Wrap returns an error of the given kind around cause.
func Wrap(cause error, kind Kind, message, remedy string) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: message, Remedy: remedy, cause: cause}, 1)
}

// KindOf returns the kind of the outermost Error in err's chain, or Unknown.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Unknown
}
