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
	env.show(answer, func() {
		rows := newRows("SERVICE", "ACCOUNT", "PRIORITY", "REQUESTS/S", "TOKENS/S", "IN FLIGHT")
		for _, one := range answer.Accounts {
			rows.add(one.Service, one.Name, one.Priority,
				share(one.UsedRequestsPerSecond, one.RequestsPerSecond),
				share(one.UsedTokensPerSecond, one.TokensPerSecond),
				share(float64(one.InFlight), float64(one.Concurrency)))
		}
		rows.print(env.out)
	})
	return nil
}

// share prints the use of a limit; 0 is no limit.
func share(used, limit float64) string {
	text := strconv.FormatFloat(used, 'f', 1, 64)
	if limit == 0 {
		return text
	}
	return text + " of " + strconv.FormatFloat(limit, 'f', -1, 64)
}
