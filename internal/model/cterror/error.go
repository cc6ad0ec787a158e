package cterror

import (
	stderrors "errors"
	"fmt"

	"github.com/pkg/errors"
)

// Error is a typed error whose text names the remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	// Cause is the error that this one wraps, or nil.
	Cause error
}

// Error renders the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + ": " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns an error of the stated kind.
func New(kind Kind, message string, remedy string) error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf returns an error of the stated kind whose message is formatted. The
// remedy comes first because the format's arguments come last.
func Newf(kind Kind, remedy string, format string, arguments ...any) error {
	return New(kind, fmt.Sprintf(format, arguments...), remedy)
}

// Wrap returns an error of the stated kind that adds the cause's text.
func Wrap(kind Kind, cause error, message string, remedy string) error {
	typed := &Error{Kind: kind, Message: cause.Error(), Remedy: remedy, Cause: cause}
	return errors.WithMessage(typed, message)
}

// KindOf returns the kind of err, or Internal where it has none.
func KindOf(err error) Kind {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
