package command

import "papayaport.dev/serving/version/publication"

type rollback struct {
	Version uint64 `arg:"" help:"Version whose files are published again, as a new version."`
	Note    string `short:"m" help:"Reason, for the audit trail."`
	Base    int64  `default:"-1" help:"Version that is rolled back; defaults to the latest one."`
}

// Run publishes the files of the older version.
func (r *rollback) Run(env *environment) error {
	if r.Version == 0 {
		return failed(BadUse, "version 0 has no files; see papayactl history")
	}
	return env.publish(r.Base, publication.Request{Note: r.Note, RollbackOf: r.Version})
}
