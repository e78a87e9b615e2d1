// Package engine simulates a model engine without its HTTP listener: continuous batching, a
// prefix cache of limited size, priorities, cancellation, resumed streams, KV cache transfers,
// cache events, delayed load reports and fenced orders. An answer is a pure function of model,
// prompt and length, so that a test can compute the expected text.
//
// # Usage
//
//	model := engine.New(engine.Default())
//	job, err := model.Submit(now, completion)
//	for _, token := range model.Advance(now) {
//		// token.Job, token.Index, token.Text
//	}
//	want := engine.Answer("farewell-7b", messages, 64)
//
// A step of the batch spends its prefill budget on the jobs in order and generates one token for
// every job whose prompt is computed. Its duration grows with the number of running jobs. Prompt
// tokens that are computed again, after an eviction or for a resumed answer, are counted as
// recomputed.
package engine
