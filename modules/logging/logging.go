// Package logging makes the structured logger of a process.
//
// # Usage
//
//	log := logging.New(os.Stderr, "info", hostID)
//	log.Info().Str("state", "ready").Msg("state changed")
//
// Lines are for changes of state; what happens often is counted in metrics.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds: a request often ends within one second of the change
// that explains it.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a JSON logger. An unknown level counts as info.
func New(w io.Writer, level, host string) zerolog.Logger {
	zerolog.TimeFieldFormat = timeFormat
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("host", host).Logger()
}
