package command

import "time"

type history struct {
	Limit  int    `default:"20" help:"Maximum number of versions, 1 to 200."`
	Before uint64 `help:"Show only versions lower than this one."`
}

// Run prints the audit trail.
func (h *history) Run(env *environment) error {
	if h.Limit < 1 {
		return failed(BadUse, "--limit is %d, allowed: 1 to 200", h.Limit)
	}
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	answer, err := client.History(ctx, h.Before, h.Limit)
	if err != nil {
		return err
	}
	env.printResult(answer, func() {
		if len(answer.Versions) == 0 {
			env.printMessage("no version is published yet; publish one with: papayactl publish PATH")
			return
		}
		rows := newTextTable("VERSION", "TIME", "OPERATOR", "BASE", "ROLLBACK OF", "CHANGES", "NOTE")
		for _, head := range answer.Versions {
			rows.add(head.Version, head.Time.Format(time.RFC3339), head.Operator, head.BaseVersion, orDash(head.RollbackOf), describeChanges(head.Changes), head.Note)
		}
		rows.print(env.out)
	})
	return nil
}
