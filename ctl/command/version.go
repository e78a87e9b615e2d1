package command

import (
	"runtime"
	"runtime/debug"
)

type version struct{}

// buildInfo describes the build of the program.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run prints the build information.
func (v *version) Run(env *environment) error {
	answer := buildInfo{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		answer.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				answer.Revision = setting.Value
			}
		}
	}
	env.printResult(answer, func() { env.printMessage("version %s, revision %s, %s", answer.Version, answer.Revision, answer.Go) })
	return nil
}
