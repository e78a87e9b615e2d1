package command

type drain struct {
	Instance string `arg:"" optional:"" help:"Id of a backend server; defaults to the entry instance at --address."`
}

// Run drains the instance: it gets no new requests.
func (d *drain) Run(env *environment) error {
	if err := env.requireSingleAddress(d.Instance); err != nil {
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
	env.printResult(status, func() {
		if d.Instance != "" {
			env.printMessage("%s gets no new work; take it back with: papayactl undrain %s", d.Instance, d.Instance)
			return
		}
		env.printMessage("%s takes no new requests, %d are in flight; watch it with: papayactl status", status.Instance, status.InFlight)
	})
	return nil
}

// requireSingleAddress rejects a drain of an entry instance if there are several addresses, since
// the request could reach any of them.
func (e *environment) requireSingleAddress(instance string) error {
	if instance == "" && len(e.options.Address) > 1 {
		return failed(BadUse, "several addresses are given; name the one entry instance with a single --address")
	}
	return nil
}
