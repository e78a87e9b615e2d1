package command

type instances struct{}

// Run lists the instances.
func (i *instances) Run(env *environment) error {
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	answer, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	env.printResult(answer, func() {
		rows := newTextTable("INSTANCE", "INCARNATION", "ROLE", "SERVICE", "DOMAIN", "CLASS", "PRICE/H", "ADDRESS", "LEAVING", "IN FLIGHT")
		for _, one := range answer.Instances {
			rows.add(one.ID, one.Incarnation, one.Role, one.Service, one.FailureDomain, one.Class, one.PricePerHour, one.Address, yesNo(one.Leaving), one.InFlight)
		}
		rows.print(env.out)
	})
	return nil
}
