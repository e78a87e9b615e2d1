// Package engine is the stand-in of a model engine without its listener: continuous
// batching, a prefix cache of limited size, priorities, cancels, resumed streams, KV
// cache transfers, cache events, lagging load reports and fenced orders. Answers are a
// pure function of model, prompt and length, so that a test can tell the right text.
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
// A step of the batch gives its prefill budget to jobs in their order and one token to
// every job whose prompt is computed. Its time grows with the number of running jobs.
// Tokens computed again, after an eviction or for a resumed answer, are counted as
// recomputed.
package engine
