package command

type undrain struct {
	Instance string `arg:"" optional:"" help:"Id of a backend server; defaults to the entry instance at --address."`
}

// Run cancels the drain.
func (u *undrain) Run(env *environment) error {
	if err := env.requireSingleAddress(u.Instance); err != nil {
		return err
	}
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	status, err := client.Undrain(ctx, u.Instance)
	if err != nil {
		return err
	}
	env.printResult(status, func() {
		name := u.Instance
		if name == "" {
			name = status.Instance
		}
		env.printMessage("%s gets new work again", name)
	})
	return nil
}
