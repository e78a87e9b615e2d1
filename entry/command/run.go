package command

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/entry/daemon"
	"papayaport.dev/serving/process/settings"
)

// run starts the daemon. Flags override the settings file.
type run struct {
	Settings  string `required:"" type:"existingfile" help:"Settings file (JSON)."`
	LogLevel  string `help:"Log level instead of the file's: debug, info, warning, error."`
	LogFormat string `help:"Log format instead of the file's: text, json."`
	Policy    string `help:"Routing policy instead of the file's."`
}

// Run serves until a signal requests a stop and then shuts down gracefully. SIGHUP reloads the log
// level; other settings need a restart.
func (r *run) Run(out *streams) error {
	set, err := readSettings(r.Settings, out)
	if err != nil {
		return err
	}
	r.overrideSettings(&set)
	log, err := newLog(set.Log, out)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, daemon.NewPlatform(set), log)
	if err != nil {
		return err
	}
	go r.reload(log, out)
	return d.Run(out.signals.Context())
}

// reload reloads the log level at each SIGHUP until the process exits, also during a shutdown.
func (r *run) reload(log *logrus.Logger, out *streams) {
	for range out.signals.HangUps() {
		set, err := readSettings(r.Settings, out)
		if err != nil {
			log.WithError(err).Error("entry: reload of settings failed; keeping the previous settings")
			continue
		}
		r.overrideSettings(&set)
		if level, err := logrus.ParseLevel(set.Log.Level); err == nil {
			log.SetLevel(level)
		}
		log.WithField("log_level", set.Log.Level).Info("entry: settings reloaded")
	}
}

func (r *run) overrideSettings(set *settings.Settings) {
	for _, value := range []struct {
		given string
		into  *string
	}{
		{r.LogLevel, &set.Log.Level},
		{r.LogFormat, &set.Log.Format},
		{r.Policy, &set.Routing.Policy},
	} {
		if value.given != "" {
			*value.into = value.given
		}
	}
}

func newLog(set settings.Log, out *streams) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out.err)
	level, err := logrus.ParseLevel(set.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log.SetLevel(level)
	if set.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}
