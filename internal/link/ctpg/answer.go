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

// typeParseComplete is the type of the message that answers a Parse.
const typeParseComplete = '1'

// headerBytes is the size of a message's type and length.
const headerBytes = 5

// readyBytes is the size of a ReadyForQuery message.
const readyBytes = 6

// Relay passes whole messages of an answer on to the caller, but for those
// that answer statements which Next added.
func (c *Caller) Relay(payload []byte) error {
	_, err := c.socket.Write(c.statements.dropAddedAnswers(payload))
	return errors.Wrap(err, "relay an answer")
}

// EndAnswer passes the end of an answer on, with the session's token in front of the
// last message where the token has changed.
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
	return errors.Wrap(err, "end an answer")
}

// SendOutcome tells the caller of an outcome for which there is no answer, with the
// session's token where it has changed. A fatal one is the last message of the
// session.
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
			ctoutcome.Name(outcome), ctoutcome.ReasonOf(outcome), request),
		Hint: outcomeHint(outcome),
	})
	if token != "" {
		c.protocol.Send(&pgproto3.ParameterStatus{Name: ParameterToken, Value: token})
	}
	if !fatal {
		c.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	return errors.Wrap(c.protocol.Flush(), "tell an outcome")
}

// SendFatal tells the caller of an error that ends its connection.
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

// dropParseCompletes returns the messages without the first skip answers to a Parse,
// and how many of those are still to come.
func dropParseCompletes(payload []byte, skip int) ([]byte, int) {
	offset := 0
	for skip > 0 && len(payload)-offset >= headerBytes && payload[offset] == typeParseComplete {
		offset += int(binary.BigEndian.Uint32(payload[offset+1:])) + 1
		skip--
	}
	return payload[offset:], skip
}
