// Package logging creates the structured logger of a process.
//
// # Usage
//
//	log := logging.New(os.Stderr, "info", hostID)
//	log.Info().Str("state", "ready").Msg("state changed")
//
// Log changes of state only; count frequent events in metrics instead.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat includes milliseconds, because a request often ends within a second of the
// state change that explains its result.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a JSON logger that writes log entries of at least the given level to w and
// adds the host's ID to each entry. An unknown level is treated as info.
func New(w io.Writer, level, host string) zerolog.Logger {
	zerolog.TimeFieldFormat = timeFormat
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("host", host).Logger()
}
