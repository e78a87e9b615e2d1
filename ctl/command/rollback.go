package command

import "papayaport.dev/serving/version/publication"

type rollback struct {
	Version uint64 `arg:"" help:"Version whose files come into force again, as a new version."`
	Note    string `short:"m" help:"Why, for the audit trail."`
	Base    int64  `default:"-1" help:"Version that is rolled back from; the latest one if not given."`
}

// Run publishes the files of the older version.
func (r *rollback) Run(env *environment) error {
	if r.Version == 0 {
		return failed(BadUse, "version 0 has no files; see papayactl history")
	}
	return env.send(r.Base, publication.Request{Note: r.Note, RollbackOf: r.Version})
}
