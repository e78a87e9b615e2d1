package engine

import (
	"net/http"
	"strconv"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

// Export prepares cached blocks for another engine: those of a running attempt, or those of a
// chain.
func (m *Model) Export(export wire.Export) (wire.Exported, error) {
	chain := make([]prefix.Block, len(export.Blocks))
	for i, block := range export.Blocks {
		chain[i] = prefix.Block(block)
	}
	if export.Attempt != "" {
		chain = m.chain(export.Attempt)
	}
	t := m.cache.transfer(chain, m.cfg.KVBytesPerToken)
	if len(t.Blocks) == 0 {
		return wire.Exported{}, &Refusal{http.StatusNotFound, "no block of the export is cached"}
	}
	handle := m.cfg.Instance + "-" + strconv.Itoa(len(m.exports)+1)
	m.exports[handle] = t
	return wire.Exported{Handle: handle, Tokens: t.Tokens, Bytes: t.Bytes}, nil
}

// chain caches the progress of a running attempt and returns its blocks.
func (m *Model) chain(attempt string) []prefix.Block {
	for _, j := range m.running {
		if j.attempt == attempt {
			m.cacheProgress(j)
			return prefix.Blocks(j.text.String())
		}
	}
	return nil
}

// Transfer returns the content of an export.
func (m *Model) Transfer(handle string) (Transfer, error) {
	t, ok := m.exports[handle]
	if !ok {
		return Transfer{}, &Refusal{http.StatusNotFound, "unknown export " + handle}
	}
	return t, nil
}

// ImportTransfer caches the content of another engine's export.
func (m *Model) ImportTransfer(t Transfer) wire.Imported { return m.cache.importTransfer(t) }
