package rollout

// pool sums the reports of all entry instances about one order.
type pool struct {
	// base holds what an earlier holder saved in the record. It counts many of the attempts
	// that are reported again, so the higher of both counts is taken, never the sum.
	base Evidence
	// ended sums processes that another incarnation of their instance followed.
	ended     Evidence
	instances map[string]*account
	waiting   Evidence
}

// account holds the counts of one process.
type account struct {
	incarnation uint64
	evidence    Evidence
}

// take takes in the newest reports.
func (p *pool) take(reports []Report, order uint64) {
	if p.instances == nil {
		p.instances = make(map[string]*account)
	}
	p.waiting = Evidence{}
	for _, report := range reports {
		if report.Order != order {
			continue
		}
		a := p.instances[report.Instance]
		if a == nil {
			a = &account{incarnation: report.Incarnation}
			p.instances[report.Instance] = a
		}
		if report.Incarnation < a.incarnation {
			continue
		}
		if report.Incarnation > a.incarnation {
			p.ended.Add(a.evidence)
			*a = account{incarnation: report.Incarnation}
		}
		// Of two reports that overtook each other, the later has the higher counts.
		a.evidence.Raise(report.Evidence)
		p.waiting.Add(report.Evidence.waiting())
	}
}

// sum returns the counts of all instances.
func (p *pool) sum() Evidence {
	var all Evidence
	all.Add(p.ended)
	for _, a := range p.instances {
		all.Add(a.evidence)
	}
	all.Raise(p.base)
	all.Add(p.waiting)
	return all
}
