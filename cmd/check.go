package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/platform"
	"github.com/godwithatch/godwithatch/services/table"
)

type checkCommand struct {
	Settings []string `arg:"" optional:"" help:"Files with settings; several are also compared with each other." type:"path"`
	Platform string   `help:"File with the settings of the users' platform." type:"path"`
	Routes   string   `help:"File with the routes table." type:"path" and:"tables"`
	Pools    string   `help:"File with the pools table." type:"path" and:"tables"`
}

// Run checks the files given on the command line and prints all faults in them.
func (c *checkCommand) Run(o *output) error {
	faults := c.checkSettings()
	platformFaults := c.checkPlatform()
	problems, err := c.checkTables()
	if err != nil {
		return err
	}
	n := len(faults) + len(platformFaults) + len(problems)
	err = o.printOutput(struct {
		Settings setting.Faults         `json:"settings"`
		Platform platform.SettingFaults `json:"platform"`
		Tables   table.Problems         `json:"tables"`
	}{faults, platformFaults, problems}, func(w io.Writer) {
		for _, f := range platformFaults {
			fmt.Fprintln(w, f.Error())
		}
		for _, f := range faults {
			fmt.Fprintln(w, f.Error())
		}
		for _, p := range problems {
			fmt.Fprintln(w, p.Error())
		}
		if n == 0 {
			fmt.Fprintln(w, "no faults")
		}
	})
	if err != nil {
		return err
	}
	if n > 0 {
		return errFound.New("%d", n)
	}
	return nil
}

func (c *checkCommand) checkSettings() setting.Faults {
	var faults setting.Faults
	var loaded []*setting.Settings
	for _, path := range c.Settings {
		cfg, err := setting.Load(path)
		var found setting.Faults
		if errors.As(err, &found) {
			faults = append(faults, found...)
			continue
		}
		loaded = append(loaded, cfg)
	}
	return append(faults, setting.CheckTogether(loaded)...)
}

func (c *checkCommand) checkPlatform() platform.SettingFaults {
	if c.Platform == "" {
		return nil
	}
	var faults platform.SettingFaults
	if _, err := platform.LoadSettings(c.Platform); err != nil && !errors.As(err, &faults) {
		faults = platform.SettingFaults{{Path: c.Platform, Field: "file", Reason: err.Error()}}
	}
	return faults
}

func (c *checkCommand) checkTables() (table.Problems, error) {
	if c.Routes == "" {
		return nil, nil
	}
	routes, err := os.ReadFile(c.Routes)
	if err != nil {
		return nil, err
	}
	pools, err := os.ReadFile(c.Pools)
	if err != nil {
		return nil, err
	}
	_, problems := table.Join(routes, pools)
	return problems, nil
}
