package ctpg

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Request is one request of a caller: a Query, or the messages up to a Sync.
type Request struct {
	Class ctstatement.Class
	// Key is the idempotency key. It is empty if the request has none.
	Key ctid.IdempotencyKey
	// InvalidKey reports that the request has an idempotency key that can't be honoured.
	InvalidKey bool
	// Payload contains the request's messages in the PostgreSQL protocol, with the Parse
	// messages that NextRequest added in front.
	Payload []byte

	// changes are the preparations and closings in Payload, in order.
	changes []statementChange
}

// BeginAnswer prepares for the relay of an answer to the request. It must be called
// each time the request is sent to a backend server.
func (c *Caller) BeginAnswer(request *Request) {
	c.statements.unconfirmed = request.changes
}

// ErrTerminated is the error that NextRequest returns when the caller sends Terminate.
var ErrTerminated = errors.New("the caller ended the session")

// NextRequest waits for the caller's next request and returns it. The error has the kind
// cterror.Invalid if a message is not supported or the request exceeds
// MaxRequestBytes, and cterror.Exhausted if the meter has no room for it. A request that has begun
// must end within requestTimeout.
func (c *Caller) NextRequest() (*Request, error) {
	var b batch
	c.reader.nextRequest()
	defer c.setReadDeadline(time.Time{})
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

// addToBatch adds a message to the batch and reports whether it ends the request. It
// drops COPY data.
func (c *Caller) addToBatch(b *batch, message pgproto3.FrontendMessage) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		return true, b.query(m)
	case *pgproto3.Sync:
		return true, b.addMessage(m)
	case *pgproto3.Terminate:
		return false, ErrTerminated
	case *pgproto3.Parse:
		return false, b.parse(m)
	case *pgproto3.Bind:
		return false, b.bind(m)
	case *pgproto3.Describe:
		return false, b.describe(m)
	case *pgproto3.Execute:
		return false, b.execute(m)
	case *pgproto3.Close:
		return false, b.close(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil
	}
	return false, cterror.Newf(cterror.Invalid, "end each request with Sync, and use SQL instead of function calls",
		"message %T is not carried", message)
}

// receiveError returns the error of NextRequest for an error of the protocol reader.
func receiveError(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return tooLarge()
	}
	return errors.Wrap(err, "read a request")
}

// tooLarge returns the error for a request over MaxRequestBytes.
func tooLarge() error {
	return cterror.New(cterror.Invalid, "the request is over 16 MiB", "split it")
}
