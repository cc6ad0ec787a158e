package ctbackend

import (
	"io"
	"net"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Doubt says why answers on a connection may belong to other requests.
type Doubt string

const (
	// NoDoubt stands for no reason.
	NoDoubt Doubt = ""
	// DoubtUnasked means that a message arrived while no request was outstanding.
	DoubtUnasked Doubt = "unasked_message"
	// DoubtWrongAnswer means that an answer can't be that to its statement.
	DoubtWrongAnswer Doubt = "wrong_answer"
	// DoubtUnconfirmed means that an answer was not followed by its confirmation.
	DoubtUnconfirmed Doubt = "unconfirmed_answer"
)

// The types of messages that a backend server may send at any time.
const (
	typeParameterStatus      = 'S'
	typeNoticeResponse       = 'N'
	typeNotificationResponse = 'A'
)

// Doubt returns why the connection was marked as broken, if an answer was in doubt.
func (c *Conn) Doubt() Doubt {
	return c.doubt
}

// ProcessID returns the backend server's process ID for the connection.
func (c *Conn) ProcessID() uint32 {
	return c.processID
}

// fail marks the connection as broken and returns the error for the doubt.
func (c *Conn) fail(doubt Doubt, detail string) error {
	c.broken, c.doubt = true, doubt
	return cterror.Newf(cterror.Unavailable, "check the backend server", "an answer is in doubt: %s", detail)
}

// checkQuiet returns an error if a message other than those that may come at any time has
// arrived, or the backend server has closed the connection.
func (c *Conn) checkQuiet() error {
	for {
		if c.reader.Buffered() == 0 {
			if arrived, err := hasArrived(c.socket); !arrived || err != nil {
				return err
			}
		}
		message, err := c.readMessage(nil)
		if err != nil {
			return err
		}
		switch message.Type() {
		case typeParameterStatus, typeNoticeResponse, typeNotificationResponse:
		case TypeErrorResponse:
			return errors.Errorf("the backend server ended the connection: %s", ErrorCode(message))
		default:
			return c.fail(DoubtUnasked, "a message arrived before the request was sent")
		}
	}
}

// hasArrived reports whether data can be read from the socket, without waiting for it. The
// error wraps io.EOF if the other side has closed the connection.
func hasArrived(socket net.Conn) (bool, error) {
	syscallConn, ok := socket.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "inspect a connection")
	}
	var first [1]byte
	var count int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		count, _, peekErr = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, errors.Wrap(err, "inspect a connection")
	case errors.Is(peekErr, unix.EAGAIN), errors.Is(peekErr, unix.EINTR):
		return false, nil
	case peekErr != nil:
		return false, errors.Wrap(peekErr, "inspect a connection")
	case count == 0:
		return false, errors.Wrap(io.EOF, "inspect a connection")
	}
	return true, nil
}

// checkAnswer returns an error if the answer can't be that to a statement of the proxy
// itself: it must end with the statement's command tag or an error, and such a statement
// neither begins nor ends a transaction, though an error aborts an open one.
func (c *Conn) checkAnswer(sql string, collector *rowCollector, before byte) error {
	failed := collector.errorResponse != nil
	aborted := failed && before == TransactionOpen && c.transactionStatus == TransactionFailed
	if c.transactionStatus != before && !aborted {
		return c.fail(DoubtWrongAnswer, "the answer to a statement of the proxy changes the transaction")
	}
	if failed {
		return nil
	}
	verb, _, _ := strings.Cut(sql, " ")
	tag, _, _ := strings.Cut(collector.tag, " ")
	if collector.endings != 1 || tag != verb {
		return c.fail(DoubtWrongAnswer, "the answer to "+verb+" has the command tag "+collector.tag)
	}
	return nil
}
