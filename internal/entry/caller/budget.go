package caller

// maxBudget bounds the retries that a quiet service saves up.
const maxBudget = 20

// budget limits the retries of one service to a share of its requests.
type budget struct {
	saved float64
	share float64
}

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{saved: maxBudget}
		s.budgets[service] = b
	}
	b.share = s.doc.Service(service).Retry()
	return b
}

// earn adds the share of one request.
func (b *budget) earn() { b.saved = min(maxBudget, b.saved+b.share) }

// spend takes one retry, if there is one.
func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
