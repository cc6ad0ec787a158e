package ctgateway

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
)

const (
	// messageCopies is how many copies of a message are in memory: as it arrives and as text, or as
	// text and as it is sent to a member.
	messageCopies = 2
	// answerCopies is how many copies of an answer are in memory: as rows and as it is sent to the
	// caller.
	answerCopies = 2
	// uncountedBytes is the size up to which an answer, or the state of a session, is covered by the
	// limit on the number of callers.
	uncountedBytes = 4 << 10
)

// LargestCharge is the charge for the largest legal message: a statement of 1 MiB, and the session
// state that it sets.
const LargestCharge ctbudget.Bytes = (messageCopies + 2) << 20

// Texts that describe the limits to callers.
const (
	tooManyCallersText = "this proxy has too many clients; retry in 2 s, or elsewhere"
	tooMuchStateText   = "the values and prepared statements of this session, or of all sessions, take too much memory"
)

// messageMeter charges a caller's messages to its account.
type messageMeter struct {
	account *ctaccount.Account
}

var _ Meter = messageMeter{}

// ChargeMessage charges for a message of a number of bytes.
func (m messageMeter) ChargeMessage(bytes int) bool {
	return m.account.Charge(ctbudget.UseMessage, messageCopies*ctbudget.Bytes(bytes))
}

// errAnswerOverBudget is returned for an answer for which there is no room.
var errAnswerOverBudget = cterror.New(cterror.Exhausted, "answers that clients have yet to read take too much memory",
	"send the statement again later")

// answer handles a query and writes its answer.
func (s *session) answer(query ctquery.Query) error {
	answer := s.handleQuery(query)
	s.stateUsage.Set(ctbudget.Bytes(s.dialog.State().Bytes()))
	bytes := len(answer.Text) + len(answer.Proof)
	for _, row := range answer.Rows {
		bytes += len(row)
	}
	if bytes > uncountedBytes {
		if !s.account.Charge(ctbudget.UseAnswer, answerCopies*ctbudget.Bytes(bytes)) {
			return errAnswerOverBudget
		}
		defer s.account.Charge(ctbudget.UseAnswer, 0)
	}
	if err := s.caller.WriteAnswer(answer); err != nil {
		return err
	}
	s.account.Progress()
	return nil
}

// chargeState charges the account for the session's state before a statement that adds to it. It
// returns the plan that refuses the statement, or nil.
func (s *session) chargeState(statement ctquery.Statement) ctdialog.Plan {
	added := ctdialog.BytesAdded(statement)
	if added == 0 {
		return nil
	}
	if s.stateUsage.Set(ctbudget.Bytes(s.dialog.State().Bytes() + added)) {
		return nil
	}
	return s.dialog.RefuseQuery(ctquery.FaultTooLarge, tooMuchStateText)
}

// newStateUsage returns the charge for the state of a session.
func newStateUsage(account *ctaccount.Account) ctaccount.Usage {
	return ctaccount.Usage{Account: account, Use: ctbudget.UseState, Uncounted: uncountedBytes}
}
