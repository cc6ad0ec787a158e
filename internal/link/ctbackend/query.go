package ctbackend

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// statusColumns is the number of columns that ctserver.StatusQuery returns.
const statusColumns = 6

// rowCollector is a Sink that collects the rows of an answer as text.
type rowCollector struct {
	rows [][]string
	// tag is the last command tag, and endings is how many there are.
	tag     string
	endings int
	// errorResponse is the last error in the answer. It is nil if there is none.
	errorResponse *pgproto3.ErrorResponse
}

// HandleMessage records a row, a command tag or an error and ignores other messages.
func (r *rowCollector) HandleMessage(message Message) error {
	switch message.Type() {
	case 'D':
		return r.addRow(message)
	case TypeCommandComplete:
		r.endings++
		var complete pgproto3.CommandComplete
		if err := complete.Decode(message[HeaderBytes:]); err != nil {
			return errors.Wrap(err, "decode a command tag")
		}
		r.tag = string(complete.CommandTag)
	case TypeErrorResponse:
		r.errorResponse = &pgproto3.ErrorResponse{}
		return r.errorResponse.Decode(message[HeaderBytes:])
	}
	return nil
}

// addRow decodes a DataRow and records its values.
func (r *rowCollector) addRow(message Message) error {
	var row pgproto3.DataRow
	if err := row.Decode(message[HeaderBytes:]); err != nil {
		return errors.Wrap(err, "decode a row")
	}
	values := make([]string, len(row.Values))
	for i, v := range row.Values {
		values[i] = string(v)
	}
	r.rows = append(r.rows, values)
	return nil
}

// Query runs a statement of the proxy itself, not of a caller, and returns its rows
// as text. If the backend server answers with an error, the error has the kind
// cterror.Unavailable and the connection remains usable. If the answer can't be that to
// the statement, the connection is broken.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	payload, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode a query")
	}
	var collector rowCollector
	before := c.transactionStatus
	if _, err := c.Run(ctx, payload, &collector); err != nil {
		return nil, err
	}
	if err := c.checkAnswer(sql, &collector, before); err != nil {
		return nil, err
	}
	if collector.errorResponse != nil {
		return nil, cterror.Newf(cterror.Unavailable, "check the backend server's log",
			"the backend server refused %q: %s (%s)", sql, collector.errorResponse.Message, collector.errorResponse.Code)
	}
	return collector.rows, nil
}

// Status queries the status of the member that the connection leads to, and confirms it, so
// that it isn't older than the call. If the answer can't be read, the error has the kind
// cterror.Invalid.
func (c *Conn) Status(ctx context.Context) (ctserver.Status, error) {
	values, err := c.Query(ctx, ctserver.StatusQuery)
	if err != nil {
		return ctserver.Status{}, err
	}
	if len(values) != 1 || len(values[0]) != statusColumns {
		return ctserver.Status{}, newStatusError("it is not one row of six columns")
	}
	status, err := parseStatus(values[0])
	if err != nil {
		return ctserver.Status{}, err
	}
	return status, c.Confirm(ctx)
}

// parseStatus reads a row of ctserver.StatusQuery.
func parseStatus(columns []string) (ctserver.Status, error) {
	var status ctserver.Status
	if err := status.Role.UnmarshalText([]byte(columns[0])); err != nil {
		return status, err
	}
	numbers := make([]uint64, 0, statusColumns-1)
	for _, text := range columns[1:] {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return status, newStatusError("a number can't be read")
		}
		numbers = append(numbers, number)
	}
	term := ctposition.Term(numbers[0])
	status.Received = ctposition.Point{Term: term, Position: ctposition.Position(numbers[1])}
	status.Applied = ctposition.Point{Term: term, Position: ctposition.Position(numbers[2])}
	status.Fence = ctposition.Term(numbers[3])
	status.Incarnation = ctid.Incarnation(numbers[4])
	return status, nil
}

// newStatusError returns the error for an answer to ctserver.StatusQuery that can't
// be read.
func newStatusError(problem string) error {
	return cterror.New(cterror.Invalid, "the member's status can't be used: "+problem,
		"install the view group_status on every member")
}
