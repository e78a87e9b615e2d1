package command

type services struct{}

// Run lists the services.
func (s *services) Run(env *environment) error {
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	answer, err := client.Services(ctx)
	if err != nil {
		return err
	}
	env.printResult(answer, func() {
		rows := newTextTable("SERVICE", "KIND", "MODEL", "ACCOUNTS", "BACKEND SERVERS", "LEAVING", "IN FLIGHT", "QUEUED")
		for _, one := range answer.Services {
			rows.add(one.Name, one.Kind, one.Model, one.Accounts, one.Backends, one.Leaving, one.InFlight, one.Queued)
		}
		rows.print(env.out)
	})
	return nil
}
