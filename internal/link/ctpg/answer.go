package ctpg

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// typeParseComplete is the type byte of ParseComplete, the answer to a Parse.
const typeParseComplete = '1'

// headerBytes is the size of a message's header: its type and its length.
const headerBytes = 5

// readyBytes is the size of a ReadyForQuery message.
const readyBytes = 6

// Relay sends part of an answer to the caller. The payload must consist of whole
// messages. Relay drops the answers to the Parse messages that NextRequest added.
func (c *Caller) Relay(payload []byte) error {
	_, err := c.socket.Write(c.statements.dropAddedAnswers(payload))
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
	out, err := status.Encode(append([]byte(nil), c.statements.dropAddedAnswers(payload[:len(payload)-readyBytes])...))
	if err != nil {
		return errors.Wrap(err, "encode the token")
	}
	_, err = c.socket.Write(append(out, readyForQuery...))
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

// dropParseCompletes removes up to skip ParseComplete messages from the payload. Other
// messages, such as notices, may precede them. It returns the rest and how many it has yet
// to remove.
func dropParseCompletes(payload []byte, skip int) ([]byte, int) {
	var kept []byte
	offset := 0
	for skip > 0 && len(payload)-offset >= headerBytes {
		end := min(len(payload), offset+int(binary.BigEndian.Uint32(payload[offset+1:]))+1)
		if payload[offset] == typeParseComplete {
			skip--
		} else {
			kept = append(kept, payload[offset:end]...)
		}
		offset = end
	}
	if len(kept) == 0 {
		return payload[offset:], skip
	}
	return append(kept, payload[offset:]...), skip
}
