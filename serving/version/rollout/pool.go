package rollout

// pool sums the reports of all entry instances about one order.
type pool struct {
	// base holds the evidence that an earlier holder saved in the record. Instances report many
	// of the same attempts again, so the higher of both counts is used, never the sum.
	base Evidence
	// endedProcesses sums the counts of processes that were replaced by a later incarnation of
	// their instance.
	endedProcesses Evidence
	instances      map[string]*processCounts
	waiting        Evidence
}

// account holds the counts of one process.
type processCounts struct {
	incarnation uint64
	evidence    Evidence
}

// update adds the latest reports.
func (p *pool) update(reports []Report, order uint64) {
	if p.instances == nil {
		p.instances = make(map[string]*processCounts)
	}
	p.waiting = Evidence{}
	for _, report := range reports {
		if report.Order != order {
			continue
		}
		a := p.instances[report.Instance]
		if a == nil {
			a = &processCounts{incarnation: report.Incarnation}
			p.instances[report.Instance] = a
		}
		if report.Incarnation < a.incarnation {
			continue
		}
		if report.Incarnation > a.incarnation {
			p.endedProcesses.Add(a.evidence)
			*a = processCounts{incarnation: report.Incarnation}
		}
		// Reports may arrive out of order; the later one has the higher counts.
		a.evidence.Raise(report.Evidence)
		p.waiting.Add(report.Evidence.onlyWaiting())
	}
}

// sum returns the counts of all instances.
func (p *pool) sum() Evidence {
	var all Evidence
	all.Add(p.endedProcesses)
	for _, a := range p.instances {
		all.Add(a.evidence)
	}
	all.Raise(p.base)
	all.Add(p.waiting)
	return all
}
