package scarcity

// Sizes returns the number of services, of accounts of the largest one, and of awaited returns.
func Sizes(t *Table) (services, accounts, returns int) {
	for _, s := range t.services.Values() {
		accounts = max(accounts, s.accounts.Len())
	}
	return t.services.Len(), accounts, t.retries.Len()
}
