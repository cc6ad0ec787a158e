package ctframe

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// maxBatchReports is the highest number of reports in a ReportBatch.
const maxBatchReports = 4096

// ReportBatch forwards the reports of several proxies to control's leader.
type ReportBatch struct {
	// Version and Revision are those of the sender's own view and its configuration.
	Version  ctview.Version  `cbor:"version"`
	Revision ctid.Revision   `cbor:"revision,omitempty"`
	Reports  []ctview.Report `cbor:"reports"`
}

// Check returns an error of kind cterror.Invalid for the first fault of a report.
func (b *ReportBatch) Check() error {
	if len(b.Reports) > maxBatchReports {
		return cterror.New(cterror.Invalid, "batch contains more than 4096 reports", "split the batch")
	}
	for i := range b.Reports {
		if err := b.Reports[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// ReportBatchReply answers ReportBatch.
type ReportBatchReply struct {
	// Replies answer the reports, in their order. They contain no deltas, groups and log
	// samples: Relay has these for all of them.
	Replies []ctview.Reply `cbor:"replies"`
	// Relay has the groups that are ahead of the sender's view, and the log samples of the
	// groups that the reports name.
	Relay ctview.Reply `cbor:"relay"`
}

// Check returns an error of kind cterror.Invalid for the first fault of a reply.
func (b *ReportBatchReply) Check() error {
	for i := range b.Replies {
		if err := b.Replies[i].Check(); err != nil {
			return err
		}
	}
	return b.Relay.Check()
}

func (*ReportBatch) kind() kind      { return kindReportBatch }
func (*ReportBatchReply) kind() kind { return kindReportBatchReply }
