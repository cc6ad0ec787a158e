package ctstandin

import (
	"encoding/binary"
	"math/rand/v2"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// serveConn serves one connection until it is closed. The pool's workers run each
// request; serveConn waits for the answer before it reads the next request.
func (s *Server) serveConn(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	protocol := pgproto3.NewBackend(socket, socket)
	startup, err := s.readStartup(socket, protocol)
	if err != nil || startup == nil {
		return
	}
	id := sessionID(s.lastSessionID.Add(1))
	sess := &session{
		id:              id,
		secret:          rand.Uint32(),
		applicationName: startup.Parameters["application_name"],
		answers:         make(chan answer, 1),
	}
	var held ctlock.Held
	if !s.openSession(&held, sess, socket, protocol) {
		return
	}
	defer s.closeSession(&held, sess)
	if err := s.completeStartup(sess, protocol); err != nil {
		return
	}
	repeated := repeater{random: rand.New(rand.NewPCG(uint64(id), 0))}
	for {
		r, err := readRequest(protocol)
		if err != nil {
			return
		}
		s.enqueue(event{session: id, request: r})
		reply := <-sess.answers
		data := append(repeated.recordRequest(), reply.data...)
		if _, err := socket.Write(data); err != nil || reply.close {
			return
		}
		if sess.servesRequests() {
			repeated.recordAnswer(reply.data, s.currentFaults(&held).RepeatEvery)
		}
	}
}

// readStartup reads the startup message and declines encryption. It returns nil
// without an error after a cancel request, which is handled at once.
func (s *Server) readStartup(socket net.Conn, protocol *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		message, err := protocol.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "read the startup message")
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			s.cancelRequest(m)
			return nil, nil
		}
		if _, err := socket.Write([]byte{'N'}); err != nil {
			return nil, errors.Wrap(err, "decline encryption")
		}
	}
}

// cancelRequest cancels the session's current request if the secret is right. Like
// PostgreSQL, it sends no answer.
func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	var held ctlock.Held
	if delay := s.currentFaults(&held).CancelDelay; delay > 0 {
		<-s.Clock.After(delay.Duration())
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	found := false
	s.sessions.With(&held, func(sessions map[sessionID]*session) {
		sess, ok := sessions[sessionID(m.ProcessID)]
		found = ok && sess.secret == secret
	})
	if found {
		s.enqueue(event{session: sessionID(m.ProcessID), cancel: true})
	}
}

// openSession waits for the connect delay and registers the session. Beyond the
// connection limit, it sends an error to the client and reports false. Connections
// of replicas are neither delayed nor limited.
func (s *Server) openSession(held *ctlock.Held, sess *session, socket net.Conn, protocol *pgproto3.Backend) bool {
	if s.ConnectDelay > 0 && sess.applicationName != replicationName {
		<-s.Clock.After(s.ConnectDelay)
	}
	allowed := false
	s.database.With(held, func(d *database) {
		allowed = d.addConnection(sess.id, connection{applicationName: sess.applicationName, socket: socket}, s.Connections)
	})
	if !allowed {
		protocol.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "too many connections",
		})
		_ = protocol.Flush()
		return false
	}
	s.sessions.With(held, func(sessions map[sessionID]*session) { sessions[sess.id] = sess })
	return true
}

// closeSession removes the session and releases its lock and its connection.
func (s *Server) closeSession(held *ctlock.Held, sess *session) {
	s.sessions.With(held, func(sessions map[sessionID]*session) { delete(sessions, sess.id) })
	s.database.With(held, func(d *database) { d.removeConnection(sess.id) })
}

// completeStartup accepts the client without a password and sends the parameters
// and the key for cancel requests.
func (s *Server) completeStartup(sess *session, protocol *pgproto3.Backend) error {
	secret := binary.BigEndian.AppendUint32(nil, sess.secret)
	protocol.Send(&pgproto3.AuthenticationOk{})
	protocol.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (stand-in)"})
	protocol.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	protocol.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	protocol.Send(&pgproto3.BackendKeyData{ProcessID: uint32(sess.id), SecretKey: secret})
	protocol.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return errors.Wrap(protocol.Flush(), "complete the startup")
}

// readRequest reads one request: a simple query, or the messages of the extended
// protocol up to a Sync. It fails when the client ends the connection.
func readRequest(protocol *pgproto3.Backend) (*request, error) {
	r := &request{}
	for {
		message, err := protocol.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "read a request")
		}
		switch m := message.(type) {
		case *pgproto3.Query:
			return &request{simple: true, query: m.String}, nil
		case *pgproto3.Sync:
			return r, nil
		case *pgproto3.Terminate:
			return nil, errors.New("the client ended the connection")
		case *pgproto3.Parse:
			copied := *m
			r.messages = append(r.messages, &copied)
		case *pgproto3.Bind:
			r.messages = append(r.messages, copyBind(m))
		case *pgproto3.Describe:
			copied := *m
			r.messages = append(r.messages, &copied)
		case *pgproto3.Execute:
			copied := *m
			r.messages = append(r.messages, &copied)
		case *pgproto3.Close:
			copied := *m
			r.messages = append(r.messages, &copied)
		}
	}
}

// copyBind copies a Bind message, because its parameters point into the reader's
// buffer, which the next message overwrites.
func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	copied := *m
	copied.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		copied.Parameters[i] = append([]byte(nil), p...)
	}
	return &copied
}
