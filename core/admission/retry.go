package admission

const (
	// retryShare is the number of retries that a tenant gains with each first
	// attempt.
	retryShare = 0.1
	// retryBurst is the maximum number of retries that a tenant may save up.
	retryBurst = 5
)

// RetryBudget limits the retries of each tenant to a share of its first attempts,
// so that retries can't multiply an overload. The zero value is ready to use.
type RetryBudget struct {
	tokens map[string]float64
}

// AddFirstAttempt adds the share of a retry that a first attempt earns to the
// budget of a tenant.
func (b *RetryBudget) AddFirstAttempt(tenant string) {
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	b.tokens[tenant] = min(retryBurst, b.tokens[tenant]+retryShare)
}

// Allow reports whether a tenant may retry now and, if so, takes the retry from
// its budget.
func (b *RetryBudget) Allow(tenant string) bool {
	if b.tokens[tenant] < 1 {
		return false
	}
	b.tokens[tenant]--

	return true
}
