package ctframe_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// anyBytes is a text that is not UTF-8.
const anyBytes = "a\r\xff\x00 \xc3"

func assertSurvives(t *testing.T, frame ctframe.Frame) {
	t.Helper()
	got, err := ctframe.Read(bytes.NewReader(encode(t, frame)))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, frame)
}

// newForward returns a frame that runs a statement.
func newForward(statement ctquery.Statement, shape *ctquery.Shape) *ctframe.Forward {
	return &ctframe.Forward{
		Member: "i-1", Query: ctframe.NewQuery(ctquery.Query{ID: "\xfe\r", Statement: statement}), Shape: shape,
	}
}

// TestForwardedTextsSurvive guards against a query that is lost between two proxies because its
// text is not UTF-8.
func TestForwardedTextsSurvive(t *testing.T) {
	shape := &ctquery.Shape{Text: anyBytes}
	t.Run("a read", func(t *testing.T) { assertSurvives(t, newForward(ctquery.Read{Item: anyBytes}, nil)) })
	t.Run("a prepared statement", func(t *testing.T) {
		assertSurvives(t, newForward(ctquery.Execute{Name: shape.SharedName(), Arguments: anyBytes}, shape))
	})
	t.Run("parameters", func(t *testing.T) {
		frame := newForward(ctquery.Commit{}, nil)
		frame.Parameters = map[ctquery.Word]ctquery.Text{"\xffn": anyBytes, "m": ""}
		assertSurvives(t, frame)
	})
	t.Run("a query without an id", func(t *testing.T) {
		frame := newForward(ctquery.Rollback{}, nil)
		frame.Query.ID = ""
		assertSurvives(t, frame)
	})
}

// assertRefused checks that a frame is not accepted from another process.
func assertRefused(t *testing.T, frame *ctframe.Forward) {
	t.Helper()
	data, err := ctframe.Encode(frame)
	if err == nil {
		_, err = ctframe.Read(bytes.NewReader(data))
	}
	assert.Equal(t, cterror.KindOf(err), cterror.Invalid, "%+v", frame.Query)
}

// TestForwardRefusesOtherTexts guards against a forwarded query that runs as another one than
// the caller sent.
func TestForwardRefusesOtherTexts(t *testing.T) {
	shape := &ctquery.Shape{Text: "q5"}
	execute := ctquery.Execute{Name: shape.SharedName(), Arguments: "1"}
	t.Run("a second message", func(t *testing.T) {
		assertRefused(t, newForward(ctquery.Read{Item: "x\r\nQUERY b WRITE y 1"}, nil))
	})
	t.Run("the name of another shape", func(t *testing.T) {
		assertRefused(t, newForward(execute, &ctquery.Shape{Text: "q5", Writes: true}))
	})
	t.Run("a name without a shape", func(t *testing.T) { assertRefused(t, newForward(execute, nil)) })
	t.Run("the name that an older proxy sends", func(t *testing.T) {
		assertRefused(t, newForward(ctquery.Execute{Name: "r_q5", Arguments: "1"}, shape))
	})
	t.Run("no text", func(t *testing.T) {
		assertRefused(t, newForward(ctquery.Read{}, nil))
		assertRefused(t, newForward(ctquery.Write{}, nil))
		assertRefused(t, newForward(ctquery.Execute{Name: shape.SharedName()}, shape))
	})
	t.Run("an id with a blank", func(t *testing.T) {
		frame := newForward(ctquery.Commit{}, nil)
		frame.Query.ID = "a b"
		assertRefused(t, frame)
	})
	t.Run("a parameter with a blank in its name", func(t *testing.T) {
		frame := newForward(ctquery.Commit{}, nil)
		frame.Parameters = map[ctquery.Word]ctquery.Text{"a b": "1"}
		assertRefused(t, frame)
	})
}

// olderQuery and olderForward are a Forward as proxies encode it that send texts as text strings.
type olderQuery struct {
	ID   string `cbor:"1,keyasint,omitempty"`
	Kind uint8  `cbor:"3,keyasint"`
	Name string `cbor:"4,keyasint,omitempty"`
	Text string `cbor:"5,keyasint,omitempty"`
}

type olderForward struct {
	Member string     `cbor:"1,keyasint"`
	Query  olderQuery `cbor:"2,keyasint"`
}

// TestForwardBetweenVersions guards against proxies of two versions that understand each
// other's texts differently.
func TestForwardBetweenVersions(t *testing.T) {
	newer := encode(t, newForward(ctquery.Read{Item: "x"}, nil))
	const headerBytes = 5
	t.Run("an older proxy refuses a newer one's query", func(t *testing.T) {
		assert.ErrorContains(t, ctcbor.Unmarshal(newer[headerBytes:], &olderForward{}), "byte string")
	})
	t.Run("a newer proxy refuses an older one's query", func(t *testing.T) {
		const statementRead = 5
		body, err := ctcbor.Marshal(olderForward{Member: "i-1", Query: olderQuery{ID: "a", Kind: statementRead, Text: "x"}})
		assert.NilError(t, err)
		_, err = ctframe.Decode(newer[headerBytes-1], body)
		assert.Equal(t, cterror.KindOf(err), cterror.Invalid)
	})
}

// TestForwardedAnswersSurvive guards against an answer that is lost between two proxies because
// a member's text is not UTF-8.
func TestForwardedAnswersSurvive(t *testing.T) {
	answer := ctquery.Answer{
		Rows: []string{anyBytes, ""}, Proof: anyBytes, Transaction: ctquery.TransactionOpen,
		Point: ctposition.Point{Term: 3, Position: 7},
	}
	fault := ctquery.Answer{Fault: ctquery.FaultFailed, Text: anyBytes}
	for _, answer := range []ctquery.Answer{answer, fault} {
		got, err := ctframe.Read(bytes.NewReader(encode(t, &ctframe.ForwardReply{Answer: ctframe.NewQueryAnswer(answer)})))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.(*ctframe.ForwardReply).Answer.Answer(), answer)
	}
}
