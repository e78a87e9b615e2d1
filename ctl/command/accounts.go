package command

import "strconv"

type accounts struct{}

// Run lists the client accounts.
func (a *accounts) Run(env *environment) error {
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	answer, err := client.Accounts(ctx)
	if err != nil {
		return err
	}
	env.printResult(answer, func() {
		rows := newTextTable("SERVICE", "ACCOUNT", "PRIORITY", "REQUESTS/S", "TOKENS/S", "IN FLIGHT")
		for _, one := range answer.Accounts {
			rows.add(one.Service, one.Name, one.Priority,
				usageOfLimit(one.UsedRequestsPerSecond, one.RequestsPerSecond),
				usageOfLimit(one.UsedTokensPerSecond, one.TokensPerSecond),
				usageOfLimit(float64(one.InFlight), float64(one.Concurrency)))
		}
		rows.print(env.out)
	})
	return nil
}

// usageOfLimit formats the usage of a limit, where 0 means no limit.
func usageOfLimit(used, limit float64) string {
	text := strconv.FormatFloat(used, 'f', 1, 64)
	if limit == 0 {
		return text
	}
	return text + " of " + strconv.FormatFloat(limit, 'f', -1, 64)
}
