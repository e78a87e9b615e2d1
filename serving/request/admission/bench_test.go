package admission_test

import (
	"strconv"
	"testing"
	"time"

	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/service"
)

// BenchmarkAskDone admits and ends one request while 500 others wait in five accounts.
func BenchmarkAskDone(b *testing.B) {
	table := newTable(0, func(f *service.File) {
		f.Accounts = nil
		for i := range 5 {
			f.Accounts = append(f.Accounts, service.Account{Name: strconv.Itoa(i), RequestsPerSecond: 1e9, TokensPerSecond: 1e9, Concurrency: 1e9})
		}
		f.Queue.MaxRequests = 1000
	})
	for i := range 500 {
		table.Admit(start, ask("waiting "+strconv.Itoa(i), strconv.Itoa(i%5), 5))
	}
	table.SetSlots(start, "farewell-llm", 8)
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		id := strconv.Itoa(i)
		order, _ := table.Admit(now, ask(id, strconv.Itoa(i%5), 5))
		if order.Verdict == admission.Waiting {
			table.Abandon(now, id)
			continue
		}
		table.Done(now, id, 100)
	}
}
