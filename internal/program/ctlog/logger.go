package ctlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines with the role and the name of the
// process. An unknown or empty level means info. It sets the time format of all
// zerolog loggers of the process.
func New(w io.Writer, level string, role string, name string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("role", role).Str("process", name).Logger()
}

// Decision begins the log line of a routing or placement decision. The caller adds
// the reason under the key "why" and calls Send.
func Decision(logger *zerolog.Logger, decision string) *zerolog.Event {
	return logger.Info().Str("event", "decision").Str("decision", decision)
}
