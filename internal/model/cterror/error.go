package cterror

import (
	stderrors "errors"
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a kind and a remedy. The remedy is part of its text.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	// Cause is the error that this one wraps, or nil.
	Cause error
}

// Error returns the message followed by the remedy, if there is one.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + ": " + e.Remedy
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns an error of the given kind.
func New(kind Kind, message string, remedy string) error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf returns an error of the given kind with a formatted message. The remedy
// precedes the format because the arguments of the format come last.
func Newf(kind Kind, remedy string, format string, arguments ...any) error {
	return New(kind, fmt.Sprintf(format, arguments...), remedy)
}

// Wrap returns an error of the given kind that wraps cause. Its text consists of the
// message, the text of the cause and the remedy.
func Wrap(kind Kind, cause error, message string, remedy string) error {
	typed := &Error{Kind: kind, Message: cause.Error(), Remedy: remedy, Cause: cause}
	return errors.WithMessage(typed, message)
}

// KindOf returns the kind of err, or Internal if it wraps no Error.
func KindOf(err error) Kind {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
