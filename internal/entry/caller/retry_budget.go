package caller

// maxRetryTokens is the number of retries that a service can accumulate while
// it is idle.
const maxRetryTokens = 20

// retryBudget limits the retries of one service to a fraction of its requests.
// It is a token bucket: each request adds a fraction of a token, and each retry
// takes one.
type retryBudget struct {
	tokens           float64
	tokensPerRequest float64
}

// retryBudget returns the budget of a service with the fraction that the
// configuration sets, created full on first use.
func (s *State) retryBudget(service string) *retryBudget {
	b := s.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: maxRetryTokens}
		s.retryBudgets[service] = b
	}
	b.tokensPerRequest = s.doc.Service(service).RetryRatio()
	return b
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() { b.tokens = min(maxRetryTokens, b.tokens+b.tokensPerRequest) }

// withdraw takes the token of one retry, and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
