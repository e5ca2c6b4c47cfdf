package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithatch/godwithatch/modules/logging"
	"github.com/godwithatch/godwithatch/platform"
)

type frontCommand struct {
	Settings string `help:"File with the platform's settings; by default the one that the platform names." type:"path"`
	LogLevel string `help:"Least level of log lines." default:"info" enum:"debug,info,warn,error"`
}

// Run serves clients on the users' platform until SIGTERM or SIGINT, then stops
// gracefully.
func (c *frontCommand) Run(o *output) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	log := logging.New(o.w, c.LogLevel, settings.Host())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return platform.NewFront(settings, log).Run(ctx)
}
