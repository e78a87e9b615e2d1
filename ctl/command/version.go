package command

import (
	"runtime"
	"runtime/debug"
)

type version struct{}

// build tells what the program was built from.
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run prints what the program was built from.
func (v *version) Run(env *environment) error {
	answer := build{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		answer.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				answer.Revision = setting.Value
			}
		}
	}
	env.show(answer, func() { env.say("version %s, revision %s, %s", answer.Version, answer.Revision, answer.Go) })
	return nil
}
