package ctpg

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// The type bytes of ParseComplete and CloseComplete, the answers to a Parse and a Close.
const (
	typeParseComplete = '1'
	typeCloseComplete = '3'
)

// headerBytes is the size of a message's header: its type and its length.
const headerBytes = 5

// readyBytes is the size of a ReadyForQuery message.
const readyBytes = 6

// Relay sends part of an answer to the caller. The payload must consist of whole
// messages. Relay drops the answers to the Parse messages that NextRequest added, and
// records which statements the answer confirms as prepared or closed.
func (c *Caller) Relay(payload []byte) error {
	_, err := c.writer.Write(c.statements.recordAnswer(payload))
	return errors.Wrap(err, "relay an answer")
}

// EndAnswer sends the last part of an answer, which ends with ReadyForQuery. If
// token is not empty, EndAnswer sends it just before ReadyForQuery, as a new value of
// ParameterToken.
func (c *Caller) EndAnswer(payload []byte, token string) error {
	if token == "" || len(payload) < readyBytes {
		return c.Relay(payload)
	}
	readyForQuery := payload[len(payload)-readyBytes:]
	status := pgproto3.ParameterStatus{Name: ParameterToken, Value: token}
	out, err := status.Encode(append([]byte(nil), c.statements.recordAnswer(payload[:len(payload)-readyBytes])...))
	if err != nil {
		return errors.Wrap(err, "encode the token")
	}
	_, err = c.writer.Write(append(out, readyForQuery...))
	return errors.Wrap(err, "relay the end of an answer")
}

// SendOutcome sends the caller the outcome of a request that has no answer to
// relay, as an ErrorResponse. If token is not empty, it is sent as a new value of
// ParameterToken. If fatal is set, the error has the severity FATAL and no
// ReadyForQuery follows. The connection must be closed then.
func (c *Caller) SendOutcome(request ctid.Request, outcome ctoutcome.Outcome, token string, fatal bool) error {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	c.protocol.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(ctoutcome.SQLStateOf(outcome)),
		Message:             outcomeMessage(outcome),
		Detail: fmt.Sprintf("outcome=%s reason=%s request=%s",
			ctoutcome.NameOf(outcome), ctoutcome.ReasonOf(outcome), request),
		Hint: outcomeHint(outcome),
	})
	if token != "" {
		c.protocol.Send(&pgproto3.ParameterStatus{Name: ParameterToken, Value: token})
	}
	if !fatal {
		c.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	return errors.Wrap(c.protocol.Flush(), "send an outcome")
}

// SendFatal sends the caller an error of severity FATAL. The connection must be
// closed then. The remedy of a cterror.Error becomes the hint. A failure to send is
// ignored.
func (c *Caller) SendFatal(state ctoutcome.SQLState, err error) {
	message, remedy := err.Error(), ""
	var typed *cterror.Error
	if errors.As(err, &typed) {
		message, remedy = typed.Message, typed.Remedy
	}
	c.protocol.Send(&pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                string(state),
		Message:             message,
		Hint:                remedy,
	})
	_ = c.protocol.Flush()
}

// outcomeMessage returns the message text of the error that reports an outcome.
func outcomeMessage(outcome ctoutcome.Outcome) string {
	reason := strings.ReplaceAll(string(ctoutcome.ReasonOf(outcome)), "_", " ")
	switch outcome.(type) {
	case ctoutcome.Ran:
		return "the request ran before, under the same idempotency key; its answer is not kept"
	case ctoutcome.NotRun:
		return "the request was not run: " + reason
	case ctoutcome.Unknown:
		return "the outcome of the request is unknown: " + reason
	}
	return reason
}

// outcomeHint returns what the caller can do about an outcome.
func outcomeHint(outcome ctoutcome.Outcome) string {
	switch outcome.(type) {
	case ctoutcome.Ran:
		return "Read what it wrote, if its answer is needed."
	case ctoutcome.NotRun:
		return "Nothing of the request took effect. It may be sent again."
	case ctoutcome.Unknown:
		return "The request may have taken effect. Look before sending it again."
	}
	return ""
}
