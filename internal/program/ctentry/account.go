package ctentry

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
)

const (
	// requestCopies is how many copies of a request are in memory: as it arrives, as a batch of
	// messages, with the statements that it needs, and in a frame.
	requestCopies = 4
	// uncountedBytes is the size up to which a part of an answer, or the prepared statements of a
	// session, are covered by the limit on the number of callers.
	uncountedBytes = 32 << 10
	// refusalTimeout bounds the refusal of a connection.
	refusalTimeout = time.Second
)

// CallerShare is what callers may use of a process's resources.
var CallerShare = ctbudget.Share{
	MemoryDivisor: 4, DescriptorDivisor: 3, Largest: requestCopies * ctpg.MaxRequestBytes,
}

// The errors of callers for which there is no room.
var (
	errTooManyCallers = cterror.New(cterror.Exhausted, "this proxy has too many callers",
		"connect again in 2 s, or to another proxy")
	errTooManyStatements = cterror.New(cterror.Exhausted, "prepared statements take too much memory",
		"prepare fewer in a session")
	errAnswerOverBudget = cterror.New(cterror.Exhausted, "answers that callers have yet to read take too much memory",
		"send the request again later")
)

// requestMeter charges a caller's requests to its account.
type requestMeter struct {
	account *ctaccount.Account
}

var _ ctpg.Meter = requestMeter{}

// ChargeRequest charges for a request of a number of bytes.
func (m requestMeter) ChargeRequest(bytes int) bool {
	return m.account.Charge(ctbudget.UseMessage, requestCopies*ctbudget.Bytes(bytes))
}

// newStatementUsage returns the charge for the prepared statements of a session.
func newStatementUsage(account *ctaccount.Account) ctaccount.Usage {
	return ctaccount.Usage{Account: account, Use: ctbudget.UseState, Uncounted: uncountedBytes}
}

// relay sends a part of an answer to the caller. Meanwhile the caller may be closed for others.
func (c *callerConn) relay(payload []byte) error {
	if len(payload) > uncountedBytes {
		if !c.account.Charge(ctbudget.UseAnswer, ctbudget.Bytes(len(payload))) {
			return errAnswerOverBudget
		}
		defer c.account.Charge(ctbudget.UseAnswer, 0)
	}
	c.account.SetRunning(false)
	defer c.account.SetRunning(true)
	return c.caller.Relay(payload)
}
