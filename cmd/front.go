package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/godwithatch/godwithatch/internal/telemetry/logwriter"
	"github.com/godwithatch/godwithatch/modules/logging"
	"github.com/godwithatch/godwithatch/platform"
)

// heapShare is the share of the memory of a host from which on the runtime collects garbage
// more often. The rest is for the buffers of the system and for what the runtime does not
// count.
const heapShare = 0.6

type frontCommand struct {
	Settings string `help:"File with the platform's settings; by default the one that the platform names." type:"path"`
	LogLevel string `help:"Least level of log lines." default:"info" enum:"debug,info,warn,error"`
	LogGood  bool   `help:"Log good requests too; the rate of lines stays bounded."`
	Metrics  int    `help:"Port of the metrics and of the state dump; 0 for none." default:"9464"`
}

// Run serves clients on the users' platform until SIGTERM or SIGINT arrives and then
// stops gracefully. SIGHUP reloads the settings.
func (c *frontCommand) Run(o *output) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	}
	out := logwriter.New(o.w, logwriter.Options{})
	defer out.Close()
	log := logging.New(out, c.LogLevel, settings.Host())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return platform.NewFront(settings, log, platform.Options{
		LogWriter: out, MetricsPort: c.Metrics, Reload: reload, LogsGood: c.LogGood,
	}).Run(ctx)
}
