package ctframe_test

import (
	"bytes"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// newQuotaReport returns a report with one demand.
func newQuotaReport(demand ctview.QuotaDemand) *ctframe.Report {
	report := &ctframe.Report{}
	report.Proxy = ctview.Proxy{
		Name: "proxy-1", FailureDomain: "taipei-a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
		State: ctserver.StateReady,
	}
	report.Quotas = []ctview.QuotaDemand{demand}
	return report
}

func newQuotaReply(granted ctview.QuotaCap) ctview.Reply {
	return ctview.Reply{Quotas: &ctview.QuotaGrant{TTL: ctconfig.Duration(1), Caps: []ctview.QuotaCap{granted}}}
}

func drawOperations(t *rapid.T) ctid.Operations {
	return ctid.Operations(rapid.Int64Range(0, int64(ctview.MaxOperations)).Draw(t, "operations"))
}

// Demands and caps must arrive as they were sent, also in batches.
func TestQuotasRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := ctid.Workspace(rapid.StringMatching(`[!-~]{1,40}`).Draw(t, "name"))
		report := newQuotaReport(ctview.QuotaDemand{
			Workspace: name, Cap: drawOperations(t), Started: drawOperations(t), Refused: drawOperations(t),
		})
		reply := newQuotaReply(ctview.QuotaCap{
			Workspace: name, Cap: drawOperations(t), Limited: rapid.Bool().Draw(t, "limited"),
		})
		assertRoundTrip(t, report)
		assertRoundTrip(t, &ctframe.ReportBatch{Reports: []ctview.Report{report.Report}})
		assertRoundTrip(t, &ctframe.ReportReply{Reply: reply})
		assertRoundTrip(t, &ctframe.ReportBatchReply{Replies: []ctview.Reply{reply}})
	})
}

func assertRoundTrip(t assert.TestingT, frame ctframe.Frame) {
	data, err := ctframe.Encode(frame)
	assert.NilError(t, err)
	read, err := ctframe.Read(bytes.NewReader(data))
	assert.NilError(t, err)
	again, err := ctframe.Encode(read)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again), "%+v became %+v", frame, read)
}

// Frames with numbers out of range must be refused when they are decoded.
func TestInvalidQuotas(t *testing.T) {
	t.Run("in a report", func(t *testing.T) {
		report := newQuotaReport(ctview.QuotaDemand{Workspace: "w", Started: -1})
		assertInvalid(t, encode(t, report))
		assertInvalid(t, encode(t, &ctframe.ReportBatch{Reports: []ctview.Report{report.Report}}))
	})
	t.Run("in a reply", func(t *testing.T) {
		reply := newQuotaReply(ctview.QuotaCap{Workspace: "w", Cap: ctview.MaxOperations + 1})
		assertInvalid(t, encode(t, &ctframe.ReportReply{Reply: reply}))
		assertInvalid(t, encode(t, &ctframe.ReportBatchReply{Replies: []ctview.Reply{reply}}))
	})
}

// A report must stay small: a proxy sends one every 0.4 s.
func TestQuotaDemandSize(t *testing.T) {
	const maxBytes = 24
	without := newQuotaReport(ctview.QuotaDemand{})
	without.Quotas = without.Quotas[:0]
	with := newQuotaReport(ctview.QuotaDemand{Workspace: "workspace1", Cap: 300, Started: 250, Refused: 10})
	const fieldBytes = len("quotas") + 2
	size := len(encode(t, with)) - len(encode(t, without)) - fieldBytes
	assert.Assert(t, size <= maxBytes, "%d bytes", size)
}

// FuzzQuotas guards against frames that bring numbers into the leader's or a holder's sums that
// are out of range, however they are encoded.
func FuzzQuotas(f *testing.F) {
	const headerBytes = 5
	for _, frame := range []ctframe.Frame{
		newQuotaReport(ctview.QuotaDemand{Workspace: "w", Cap: 7, Started: 5, Refused: 2}),
		&ctframe.ReportReply{Reply: newQuotaReply(ctview.QuotaCap{Workspace: "w", Cap: 7, Limited: true})},
	} {
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
		switch decoded := frame.(type) {
		case *ctframe.Report:
			for _, d := range decoded.Quotas {
				assertInRange(t, d.Workspace, d.Cap, d.Started, d.Refused)
			}
		case *ctframe.ReportReply:
			if decoded.Quotas == nil {
				return
			}
			assert.Assert(t, decoded.Quotas.TTL >= 0)
			for _, c := range decoded.Quotas.Caps {
				assertInRange(t, c.Workspace, c.Cap)
			}
		}
	})
}

func assertInRange(t *testing.T, workspace ctid.Workspace, numbers ...ctid.Operations) {
	t.Helper()
	assert.NilError(t, workspace.Check())
	for _, n := range numbers {
		assert.Assert(t, n >= 0 && n <= ctview.MaxOperations, "%d operations", n)
	}
}
