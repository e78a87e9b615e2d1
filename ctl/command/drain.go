package command

type drain struct {
	Instance string `arg:"" optional:"" help:"Id of a backend server; the entry instance that is asked if not given."`
}

// Run stops new work for the instance.
func (d *drain) Run(env *environment) error {
	if err := env.oneTarget(d.Instance); err != nil {
		return err
	}
	client, err := env.client()
	if err != nil {
		return err
	}
	ctx, cancel := env.context()
	defer cancel()
	status, err := client.Drain(ctx, d.Instance)
	if err != nil {
		return err
	}
	env.show(status, func() {
		if d.Instance != "" {
			env.say("%s gets no new work; take it back with: papayactl undrain %s", d.Instance, d.Instance)
			return
		}
		env.say("%s takes no new requests, %d are in flight; watch it with: papayactl status", status.Instance, status.InFlight)
	})
	return nil
}

// oneTarget refuses a drain that could meet another entry instance than the one meant.
func (e *environment) oneTarget(instance string) error {
	if instance == "" && len(e.options.Address) > 1 {
		return failed(BadUse, "several addresses are given; name the one entry instance with a single --address")
	}
	return nil
}
