package ctpg

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

const (
	// uncountedBytes is the size up to which a request is not charged. The limit on the number of
	// callers covers it.
	uncountedBytes = 16 << 10
	// requestTimeout bounds the time from the beginning of a request to its end. A request of 16 MiB
	// takes 96 s on a link of 1.4 Mbit/s.
	requestTimeout = 2 * time.Minute
	// writeTimeout bounds one write to a caller, as it may stop reading. A part of an answer of 8 MiB
	// takes 48 s on such a link.
	writeTimeout = time.Minute
	// startupHeaderBytes is the size of the length and the code that begin a start-up packet, and
	// protocolMajorVersion is in the upper half of the code that starts a session.
	startupHeaderBytes   = 8
	protocolMajorVersion = 3
	// lengthBytes is the size of the length of a message, which the length counts.
	lengthBytes = 4
)

// Meter limits what a caller's requests may hold.
type Meter interface {
	// ChargeRequest reports whether the caller may hold a request of a number of bytes, in place of
	// that of the last call. 0 means that it holds none.
	ChargeRequest(bytes int) bool
}

// errOverBudget is returned for a request that would hold too much memory.
var errOverBudget = cterror.New(cterror.Exhausted, "the requests of callers hold too much memory",
	"send it again later, or to another proxy")

// meteredReader passes on what a caller sends. It charges the claimed length of each message before the
// protocol reader allocates it.
type meteredReader struct {
	source io.Reader
	// meter is nil for no limit. charged is what it was last called with.
	meter   Meter
	charged int
	// onBegin is called when a request has begun to arrive.
	onBegin func()
	// started reports that the start-up packet has passed.
	started bool
	// header is the part of a header that has passed, and body how much of a message's body has yet
	// to pass.
	header []byte
	body   int
	// request is the size of the messages of the current request, and begun reports that some of it
	// has arrived.
	request int
	begun   bool
}

// Read reads what the caller sends, unless there is no room for its message.
func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.source.Read(p)
	if n > 0 && !m.begun {
		m.begun = true
		m.onBegin()
	}
	if !m.scan(p[:n]) {
		return 0, errOverBudget
	}
	return n, err
}

// nextRequest ends the charge for the last request. A part of the next one may have passed already.
func (m *meteredReader) nextRequest() {
	m.request = m.body
	m.begun = m.body > 0 || len(m.header) > 0
	if m.begun {
		m.onBegin()
	}
	m.charge()
}

// scan follows the messages in data. It reports whether there is room for them.
func (m *meteredReader) scan(data []byte) bool {
	for len(data) > 0 {
		if m.body > 0 {
			n := min(m.body, len(data))
			m.body, data = m.body-n, data[n:]
			continue
		}
		size := headerBytes
		if !m.started {
			size = startupHeaderBytes
		}
		n := min(size-len(m.header), len(data))
		m.header, data = append(m.header, data[:n]...), data[n:]
		if len(m.header) == size && !m.beginMessage() {
			return false
		}
	}
	return true
}

// beginMessage handles a whole header. The protocol reader refuses lengths that are out of bounds.
func (m *meteredReader) beginMessage() bool {
	header := m.header
	m.header = m.header[:0]
	if !m.started {
		m.started = binary.BigEndian.Uint32(header[lengthBytes:])>>16 == protocolMajorVersion
		m.body = max(0, int(int32(binary.BigEndian.Uint32(header)))-startupHeaderBytes)
		return true
	}
	m.body = max(0, int(int32(binary.BigEndian.Uint32(header[1:])))-lengthBytes)
	if m.body > MaxRequestBytes {
		return true
	}
	m.request += headerBytes + m.body
	return m.charge()
}

// charge charges for the current request and reports whether there is room for it.
func (m *meteredReader) charge() bool {
	bytes := m.request
	if bytes <= uncountedBytes {
		bytes = 0
	}
	if m.meter == nil || bytes == m.charged {
		return true
	}
	if !m.meter.ChargeRequest(bytes) {
		return false
	}
	m.charged = bytes
	return true
}

// beginRequest limits the time until the end of a request that has begun.
func (c *Caller) beginRequest() {
	if c.inSession {
		c.setReadDeadline(time.Now().Add(c.requestTimeout))
	}
}

// setReadDeadline sets the deadline of reads, unless Interrupt was called.
func (c *Caller) setReadDeadline(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.interrupted {
		_ = c.socket.SetReadDeadline(deadline)
	}
}

// deadlineWriter writes to a connection with a timeout for each write.
type deadlineWriter struct {
	socket  net.Conn
	timeout time.Duration
}

// Write writes all of data, or fails.
func (w deadlineWriter) Write(data []byte) (int, error) {
	if err := w.socket.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, errors.Wrap(err, "set the write deadline")
	}
	return w.socket.Write(data)
}
