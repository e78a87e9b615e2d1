package action

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxAnswers is the maximum number of answers in a cache.
const maxAnswers = 1 << 20

// answerCache is an LRU cache of answers, bounded by their total size in bytes.
type answerCache struct {
	lru   *simplelru.LRU[uint64, *Answer]
	bytes int
	limit int
}

func newAnswerCache(limit int) *answerCache {
	c := &answerCache{limit: limit}
	c.lru, _ = simplelru.NewLRU(maxAnswers, func(_ uint64, answer *Answer) { c.bytes -= answer.size() })
	return c
}

func (c *answerCache) add(nonce uint64, answer *Answer) {
	c.remove(nonce)
	c.bytes += answer.size()
	c.lru.Add(nonce, answer)
	for c.bytes > c.limit {
		c.lru.RemoveOldest()
	}
}

func (c *answerCache) get(nonce uint64) *Answer {
	answer, _ := c.lru.Get(nonce)
	return answer
}

func (c *answerCache) remove(nonce uint64) { c.lru.Remove(nonce) }
