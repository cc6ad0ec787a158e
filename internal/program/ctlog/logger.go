package ctlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines with the role and the name of the
// process. An unknown level is taken for info.
func New(w io.Writer, level string, role string, name string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("role", role).Str("process", name).Logger()
}

// Decision begins the line of a routing or placement decision.
func Decision(logger *zerolog.Logger, decision string) *zerolog.Event {
	return logger.Info().Str("event", "decision").Str("decision", decision)
}
