package ctpg

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Request is one request of a caller: a Query, or messages up to a Sync.
type Request struct {
	Class ctstatement.Class
	// Key is the idempotency key of the request, empty where it has none.
	Key ctid.IdempotencyKey
	// InvalidKey reports that a key was given that can't be honoured.
	InvalidKey bool
	// Payload is the request in the PostgreSQL protocol.
	Payload []byte

	// addedParses is how many statements Next put in front of the caller's messages.
	addedParses int
}

// BeginAnswer prepares the relay of the request's answer. It is called each time the
// request is sent.
func (c *Caller) BeginAnswer(request *Request) {
	c.statements.parsesToSkip = request.addedParses
}

// ErrTerminated is returned by Next where the caller ended the session.
var ErrTerminated = errors.New("the caller ended the session")

// Next reads the caller's next request.
func (c *Caller) Next() (*Request, error) {
	var b batch
	for {
		message, err := c.protocol.Receive()
		if err != nil {
			return nil, receiveError(err)
		}
		done, err := c.addToBatch(&b, message)
		if err != nil {
			return nil, err
		}
		if !done {
			continue
		}
		if len(b.payload) > MaxRequestBytes {
			return nil, tooLarge()
		}
		return c.statements.complete(&b), nil
	}
}

// addToBatch adds a message to the batch and reports whether it ends the request.
func (c *Caller) addToBatch(b *batch, message pgproto3.FrontendMessage) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		return true, b.addQuery(m)
	case *pgproto3.Sync:
		return true, b.addMessage(m)
	case *pgproto3.Terminate:
		return false, ErrTerminated
	case *pgproto3.Parse:
		return false, b.addParse(m)
	case *pgproto3.Bind:
		return false, b.addBind(m)
	case *pgproto3.Describe:
		return false, b.addDescribe(m)
	case *pgproto3.Execute:
		return false, b.addExecute(m)
	case *pgproto3.Close:
		return false, b.addClose(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil
	}
	return false, cterror.Newf(cterror.Invalid, "end each request with Sync, and use SQL instead of function calls",
		"message %T is not carried", message)
}

func receiveError(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return tooLarge()
	}
	return errors.Wrap(err, "read a request")
}

func tooLarge() error {
	return cterror.New(cterror.Invalid, "the request is over 16 MiB", "split it")
}
