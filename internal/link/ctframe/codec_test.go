package ctframe_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// newFirstRequest returns a frame in which most fields are set.
func newFirstRequest() *ctframe.FirstRequest {
	return &ctframe.FirstRequest{
		Request:      ctid.Request{Proxy: "proxy-1", Incarnation: 7, Session: 3, Sequence: 9},
		Group:        "fit-registry",
		Member:       "fit-0",
		Caller:       "lab",
		MinPoint:     ctposition.Point{Term: 2, Position: 64},
		MaxAge:       time.Second,
		StartTimeout: time.Minute,
		Payload:      []byte("Q"),
	}
}

func encode(t *testing.T, frame ctframe.Frame) []byte {
	t.Helper()
	data, err := ctframe.Encode(frame)
	assert.NilError(t, err)
	return data
}

func assertInvalid(t *testing.T, data []byte) {
	t.Helper()
	_, err := ctframe.Read(bytes.NewReader(data))
	assert.Equal(t, cterror.KindOf(err), cterror.Invalid, "%v", err)
}

func TestRead(t *testing.T) {
	t.Run("returns what was written", func(t *testing.T) {
		frame, err := ctframe.Read(bytes.NewReader(encode(t, newFirstRequest())))
		assert.NilError(t, err)
		assert.DeepEqual(t, frame, newFirstRequest())
	})
	t.Run("returns io.EOF between frames", func(t *testing.T) {
		_, err := ctframe.Read(bytes.NewReader(nil))
		assert.Equal(t, err, io.EOF)
	})
	t.Run("does not return io.EOF within a frame", func(t *testing.T) {
		data := encode(t, newFirstRequest())
		_, err := ctframe.Read(bytes.NewReader(data[:len(data)-1]))
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	})
	t.Run("rejects a frame over the limit", func(t *testing.T) {
		assertInvalid(t, []byte{0xff, 0xff, 0xff, 0xff, 1})
	})
	t.Run("rejects an unknown kind", func(t *testing.T) {
		assertInvalid(t, []byte{0, 0, 0, 2, 200, 0xa0})
	})
	t.Run("rejects a body that is not a map", func(t *testing.T) {
		assertInvalid(t, []byte{0, 0, 0, 2, 1, 0x01})
	})
	t.Run("rejects an invalid name", func(t *testing.T) {
		frame := newFirstRequest()
		frame.Group = "Not a name"
		assertInvalid(t, encode(t, frame))
	})
	t.Run("rejects a request without a payload", func(t *testing.T) {
		frame := newFirstRequest()
		frame.Payload = nil
		assertInvalid(t, encode(t, frame))
	})
}

func FuzzDecode(f *testing.F) {
	const headerBytes = 5
	for _, frame := range []ctframe.Frame{newFirstRequest(), newJoinReply(ctquorum.JoinAccepted)} {
		data, err := ctframe.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data[headerBytes-1], data[headerBytes:])
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		frame, err := ctframe.Decode(kind, body)
		if err != nil {
			return
		}
		encoded, err := ctframe.Encode(frame)
		assert.NilError(t, err)
		_, err = ctframe.Decode(encoded[headerBytes-1], encoded[headerBytes:])
		assert.NilError(t, err)
	})
}

// TestEmptyBodies guards against a frame that is accepted without a field that it needs: what
// it is encoded to again is then rejected by the next process.
func TestEmptyBodies(t *testing.T) {
	const lastKind = 0x23
	for kind := byte(1); kind <= lastKind; kind++ {
		t.Run(fmt.Sprintf("kind %#x", kind), func(t *testing.T) {
			frame, err := ctframe.Decode(kind, []byte{0xa0})
			if err != nil {
				return
			}
			_, err = ctframe.Read(bytes.NewReader(encode(t, frame)))
			assert.NilError(t, err)
		})
	}
}

// TestReportOfMemberNeverSampled checks that a report stays valid if it lists a member
// whose status was never sampled. All fields of such a status are zero.
func TestReportOfMemberNeverSampled(t *testing.T) {
	report := &ctframe.Report{}
	report.Proxy = ctview.Proxy{
		Name: "proxy-1", FailureDomain: "taipei-a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
		State: ctserver.StateReady,
	}
	report.HeldMembers = []ctview.MemberReport{{Group: "fit-registry", Member: "fit-0", Health: ctview.HealthDown}}
	frame, err := ctframe.Read(bytes.NewReader(encode(t, report)))
	assert.NilError(t, err)
	read, ok := frame.(*ctframe.Report)
	assert.Assert(t, ok)
	assert.DeepEqual(t, read.HeldMembers, report.HeldMembers)
}

// recordingMeter records the largest charge, and denies those over a limit.
type recordingMeter struct {
	limit, largest, last int
	arrived              int
}

func (m *recordingMeter) ChargeFrame(bytes int) error {
	if bytes > m.limit {
		return cterror.New(cterror.Exhausted, "too much", "send less")
	}
	m.last, m.largest = bytes, max(m.largest, bytes)
	return nil
}

func (m *recordingMeter) FrameArrived() { m.arrived++ }

// TestReadMetered guards against a frame whose claimed length is allocated before its body arrives, and
// against a meter that isn't asked.
func TestReadMetered(t *testing.T) {
	const arrived = 100_000
	claim := append([]byte{0x01, 0x40, 0, 0, 1}, make([]byte, arrived)...)
	t.Run("a frame that ends midway", func(t *testing.T) {
		meter := &recordingMeter{limit: ctframe.MaxBytes}
		_, err := ctframe.ReadMetered(bytes.NewReader(claim), meter)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Assert(t, meter.largest <= 2*arrived, meter.largest)
		assert.Equal(t, meter.arrived, 0)
	})
	t.Run("a frame over the limit of the meter", func(t *testing.T) {
		_, err := ctframe.ReadMetered(bytes.NewReader(claim), &recordingMeter{limit: arrived / 2})
		assert.Equal(t, cterror.KindOf(err), cterror.Exhausted)
	})
	t.Run("whole frames", func(t *testing.T) {
		meter := &recordingMeter{limit: ctframe.MaxBytes}
		data, err := ctframe.Encode(&ctframe.Cancel{Member: ctid.Member(strings.Repeat("m", arrived))})
		assert.NilError(t, err)
		reader := bytes.NewReader(append(data, data...))
		for range 2 {
			_, _ = ctframe.ReadMetered(reader, meter)
		}
		assert.Equal(t, meter.arrived, 2)
		assert.Assert(t, meter.largest >= arrived, meter.largest)
		_, err = ctframe.ReadMetered(reader, meter)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, meter.last, 0)
	})
}
