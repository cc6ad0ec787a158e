package ctframe

// Frame is one message between the system's own processes.
type Frame interface {
	// kind returns the kind that names the type on the wire.
	kind() kind
}

// checker is a frame that checks itself when it is decoded.
type checker interface {
	Check() error
}

// kind tells the type of a frame on the wire.
type kind byte

// The kinds. Their numbers are part of the protocol and are not used again.
const (
	kindOpen kind = iota + 1
	kindNext
	kindAnswer
	kindDone
	kindRefused
	kindLost
	kindCancel
	kindReport
	kindReply
	kindPosition
	kindAt
	kindAwait
	kindReceived
	kindFetch
	kindFetched
	kindFault
	kindWatch
	kindQuorum
	kindPublish
	kindAccepted
	kindRecall
	kindRecalled
	kindHeard
	kindNoted
	kindCarry
	kindCarried
	kindGathered
)

// blanks makes an empty frame of each kind.
var blanks = map[kind]func() Frame{
	kindOpen:     func() Frame { return &Open{} },
	kindNext:     func() Frame { return &Next{} },
	kindAnswer:   func() Frame { return &Answer{} },
	kindDone:     func() Frame { return &Done{} },
	kindRefused:  func() Frame { return &Refused{} },
	kindLost:     func() Frame { return &Lost{} },
	kindCancel:   func() Frame { return &Cancel{} },
	kindReport:   func() Frame { return &Report{} },
	kindReply:    func() Frame { return &Reply{} },
	kindPosition: func() Frame { return &Position{} },
	kindAt:       func() Frame { return &At{} },
	kindAwait:    func() Frame { return &Await{} },
	kindReceived: func() Frame { return &Received{} },
	kindFetch:    func() Frame { return &Fetch{} },
	kindFetched:  func() Frame { return &Fetched{} },
	kindFault:    func() Frame { return &Fault{} },
	kindQuorum:   func() Frame { return &Quorum{} },
	kindWatch:    func() Frame { return &Watch{} },
	kindPublish:  func() Frame { return &Publish{} },
	kindAccepted: func() Frame { return &Accepted{} },
	kindRecall:   func() Frame { return &Recall{} },
	kindRecalled: func() Frame { return &Recalled{} },
	kindHeard:    func() Frame { return &Heard{} },
	kindNoted:    func() Frame { return &Noted{} },
	kindCarry:    func() Frame { return &Carry{} },
	kindCarried:  func() Frame { return &Carried{} },
	kindGathered: func() Frame { return &Gathered{} },
}
