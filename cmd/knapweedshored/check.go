package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-config",
		Usage: "check a settings file and the keys it names",
		Description: `Reads the file like "run" and reports every problem. Opens no sockets.

Examples:
  knapweedshored check-config --config /etc/knapweedshore/vm.ini
  knapweedshored check-config --entry --config /etc/knapweedshore/entry.ini`,
		Flags:  []cli.Flag{configFlag(), &cli.BoolFlag{Name: "entry", Usage: "check the settings of \"entry\" instead of \"run\""}},
		Action: withoutArguments(check),
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool("entry") {
		s, err := settings.LoadEntry(cmd.String("config"))
		if err != nil {
			return err
		}
		return printValid(cmd, s.Name, s.Region, s.Zone)
	}
	s, _, err := loadConfig(cmd.String("config"))
	if err != nil {
		return err
	}
	return printValid(cmd, s.Name, s.Region, s.Zone)
}

func printValid(cmd *cli.Command, name, region, zone string) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, "settings of VM %q in region %q, zone %q are valid\n", name, region, zone)
	return err
}

// loadConfig reads the settings and the keys. Both must name the same VM, because
// peers refuse a VM whose certificate is for another one.
func loadConfig(path string) (*settings.Settings, *peer.Credentials, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, nil, err
	}
	c, err := peer.LoadCredentials(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load keys")
	}
	if c.Name != member.Name(s.Name) || c.Region != s.Region {
		return nil, nil, errors.Errorf("certificate %q is for VM %q in region %q, want %q in %q",
			s.TLS.Cert, c.Name, c.Region, s.Name, s.Region)
	}
	return s, c, nil
}
