package ctframe

// Frame is one message between the system's own processes. Only types of this package
// implement it.
type Frame interface {
	// kind returns the number of the type on the wire.
	kind() kind
}

// checker is a frame with a Check method. Decode calls it.
type checker interface {
	Check() error
}

// kind is the number of a frame's type on the wire.
type kind byte

// The kinds of frames. The numbers are part of the protocol and are never reused.
const (
	kindFirstRequest kind = iota + 1
	kindNextRequest
	kindAnswer
	kindDone
	kindRefused
	kindOutcomeUnknown
	kindCancel
	kindReport
	kindReportReply
	kindPosition
	kindPositionReply
	kindAwaitReceived
	kindReceived
	kindFetch
	kindFetchReply
	kindErrorReply
	kindWatch
	kindQuorum
	kindPublish
	kindPublishReply
	kindRecall
	kindRecallReply
	kindHeard
	kindAck
	kindForward
	kindForwardReply
	kindGathered
	kindReportBatch
	kindReportBatchReply
	kindSettled
	kindFetchOffers
	kindFetchOffersReply
	kindReportOffer
	kindSettledReply
	kindRetry
)

// constructors contains, for each kind, a function that returns an empty frame.
var constructors = map[kind]func() Frame{
	kindFirstRequest:   func() Frame { return &FirstRequest{} },
	kindNextRequest:    func() Frame { return &NextRequest{} },
	kindAnswer:         func() Frame { return &Answer{} },
	kindDone:           func() Frame { return &Done{} },
	kindRefused:        func() Frame { return &Refused{} },
	kindOutcomeUnknown: func() Frame { return &OutcomeUnknown{} },
	kindCancel:         func() Frame { return &Cancel{} },
	kindReport:         func() Frame { return &Report{} },
	kindReportReply:    func() Frame { return &ReportReply{} },
	kindPosition:       func() Frame { return &Position{} },
	kindPositionReply:  func() Frame { return &PositionReply{} },
	kindAwaitReceived:  func() Frame { return &AwaitReceived{} },
	kindReceived:       func() Frame { return &Received{} },
	kindFetch:          func() Frame { return &Fetch{} },
	kindFetchReply:     func() Frame { return &FetchReply{} },
	kindErrorReply:     func() Frame { return &ErrorReply{} },
	kindQuorum:         func() Frame { return &Quorum{} },
	kindWatch:          func() Frame { return &Watch{} },
	kindPublish:        func() Frame { return &Publish{} },
	kindPublishReply:   func() Frame { return &PublishReply{} },
	kindRecall:         func() Frame { return &Recall{} },
	kindRecallReply:    func() Frame { return &RecallReply{} },
	kindHeard:          func() Frame { return &Heard{} },
	kindAck:            func() Frame { return &Ack{} },
	kindForward:        func() Frame { return &Forward{} },
	kindForwardReply:   func() Frame { return &ForwardReply{} },
	kindGathered:       func() Frame { return &Gathered{} },
	kindSettled:        func() Frame { return &Settled{} },
	kindFetchOffers:    func() Frame { return &FetchOffers{} },
	kindReportOffer:    func() Frame { return &ReportOffer{} },
	kindSettledReply:   func() Frame { return &SettledReply{} },

	kindRetry:            func() Frame { return &Retry{} },
	kindReportBatch:      func() Frame { return &ReportBatch{} },
	kindReportBatchReply: func() Frame { return &ReportBatchReply{} },
	kindFetchOffersReply: func() Frame { return &FetchOffersReply{} },
}
