package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithatch/godwithatch/modules/logging"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/routers/caller"
	"github.com/godwithatch/godwithatch/routers/operator"
	"github.com/godwithatch/godwithatch/services/daemon"
)

type serveCommand struct {
	Config string `help:"File with the settings." short:"c" default:"custom/conf/app.ini" type:"path"`
}

// Run serves until SIGTERM or SIGINT arrives and then stops gracefully. A second signal
// ends the process immediately.
func (c *serveCommand) Run(o *output) error {
	cfg, err := setting.Load(c.Config)
	if err != nil {
		return err
	}
	log := logging.New(o.errw, cfg.LogLevel(), cfg.Host())
	d, err := daemon.New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	callers := caller.NewServer(cfg.Caller(), d.Engine(), d)
	operators := operator.NewServer(cfg.Operator(), d)
	return d.Run(ctx, callers, operators)
}
