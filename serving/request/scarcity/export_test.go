package scarcity

// Sizes returns the numbers of services, of accounts of the service with most accounts, and of
// expected retries.
func Sizes(t *Table) (services, accounts, retries int) {
	for _, s := range t.services.Values() {
		accounts = max(accounts, s.accounts.Len())
	}
	return t.services.Len(), accounts, t.retries.Len()
}
