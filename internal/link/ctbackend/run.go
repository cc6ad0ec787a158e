package ctbackend

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The transaction states that ReadyForQuery reports.
const (
	TransactionIdle   = 'I'
	TransactionOpen   = 'T'
	TransactionFailed = 'E'
)

// The types of the messages that the proxy inspects.
const (
	TypeCommandComplete = 'C'
	TypeErrorResponse   = 'E'
	TypeReadyForQuery   = 'Z'
	TypeCopyIn          = 'G'
	TypeCopyOut         = 'H'
	TypeCopyBoth        = 'W'
)

// HeaderBytes is the size of a message's header: its type and its length.
const HeaderBytes = 5

// maxMessageBytes is the size limit of a message in an answer.
const maxMessageBytes = 16 << 20

// Message is one whole message of the PostgreSQL protocol, including its header.
type Message []byte

// Type returns the type byte of the message.
func (m Message) Type() byte {
	return m[0]
}

// hasTransactionState reports whether a ReadyForQuery contains a transaction state.
func (m Message) hasTransactionState() bool {
	if len(m) != HeaderBytes+1 {
		return false
	}
	switch m[HeaderBytes] {
	case TransactionIdle, TransactionOpen, TransactionFailed:
		return true
	}
	return false
}

// Sink receives the messages of an answer, one by one.
type Sink interface {
	// HandleMessage handles one message, which is valid only during the call. An
	// error ends the answer and breaks the connection.
	HandleMessage(message Message) error
}

// Result reports how far a request got.
type Result struct {
	// Transaction is the transaction state after the answer: TransactionIdle,
	// TransactionOpen or TransactionFailed. It is 0 if the answer didn't end.
	Transaction byte
	// Sent reports whether any byte of the request may have reached the
	// backend server.
	Sent bool
}

// Run sends a request and passes each message of the answer to sink, including the
// ReadyForQuery that ends it. If Run returns an error, the connection is broken. The
// Result is valid with an error, too. When ctx ends, Run returns with an error. If a message
// has arrived that no request asked for, Run sends nothing.
func (c *Conn) Run(ctx context.Context, payload []byte, sink Sink) (Result, error) {
	stop := c.interruptOnDone(ctx)
	defer stop()
	if err := c.checkQuiet(); err != nil {
		c.broken = true
		return Result{}, err
	}
	if count, err := c.socket.Write(payload); err != nil {
		c.broken = true
		return Result{Sent: count > 0}, errors.Wrap(err, "send the request")
	}
	c.used = true
	result, err := c.readAnswer(sink)
	c.transactionStatus = result.Transaction
	if err != nil {
		c.broken = true
	}
	return result, err
}

// interruptOnDone makes reads and writes on the connection fail when ctx ends. It stops
// watching ctx when the returned function is called.
func (c *Conn) interruptOnDone(ctx context.Context) func() {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.socket.SetDeadline(deadline)
	} else {
		_ = c.socket.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.socket.SetDeadline(time.Unix(1, 0))
	})
	return func() { stop() }
}

// readAnswer passes messages to sink up to ReadyForQuery.
func (c *Conn) readAnswer(sink Sink) (Result, error) {
	var buffer []byte
	for {
		message, err := c.readMessage(buffer)
		if err != nil {
			return Result{Sent: true}, err
		}
		buffer = message
		if message.Type() == TypeReadyForQuery && !message.hasTransactionState() {
			return Result{Sent: true}, c.fail(DoubtWrongAnswer, "ReadyForQuery has no transaction state")
		}
		if err := sink.HandleMessage(message); err != nil {
			return Result{Sent: true}, err
		}
		if message.Type() == TypeReadyForQuery {
			return Result{Sent: true, Transaction: message[HeaderBytes]}, nil
		}
	}
}

// readMessage reads one message. It reuses buffer if the message fits into it.
func (c *Conn) readMessage(buffer []byte) (Message, error) {
	header, err := c.reader.Peek(HeaderBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read from the backend server")
	}
	size := int(binary.BigEndian.Uint32(header[1:])) + 1
	if size < HeaderBytes || size > maxMessageBytes {
		return nil, cterror.Newf(cterror.Invalid, "ask for smaller rows", "a message of %d bytes is over the limit", size)
	}
	if cap(buffer) < size {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	if _, err := io.ReadFull(c.reader, buffer); err != nil {
		return nil, errors.Wrap(err, "read from the backend server")
	}
	return Message(buffer), nil
}

// ErrorCode returns the SQLSTATE of an ErrorResponse, or an empty string if the
// message can't be decoded.
func ErrorCode(message Message) string {
	var response pgproto3.ErrorResponse
	if err := response.Decode(message[HeaderBytes:]); err != nil {
		return ""
	}
	return response.Code
}
