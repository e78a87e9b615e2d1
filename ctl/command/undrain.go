package command

type undrain struct {
	Instance string `arg:"" optional:"" help:"Id of a backend server; the entry instance that is asked if not given."`
}

// Run takes the drain back.
func (u *undrain) Run(env *environment) error {
	if err := env.oneTarget(u.Instance); err != nil {
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
	env.show(status, func() {
		name := u.Instance
		if name == "" {
			name = status.Instance
		}
		env.say("%s gets new work again", name)
	})
	return nil
}
