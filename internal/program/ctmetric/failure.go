package ctmetric

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
)

// Report returns a function that logs the failures of connections and counts the panics
// among them.
func Report(logger *zerolog.Logger, panics prometheus.Counter) func(cttcp.Failure) {
	return func(failure cttcp.Failure) {
		switch f := failure.(type) {
		case cttcp.Panic:
			panics.Inc()
			logger.Error().Str("event", "panic").Str("error", fmt.Sprint(f.Value)).Bytes("stack", f.Stack).Send()
		case cttcp.AcceptFailure:
			logger.Warn().Str("event", "accept_failed").Str("error", f.Err.Error()).Send()
		}
	}
}
