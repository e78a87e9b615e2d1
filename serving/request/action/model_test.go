package action

import "github.com/pkg/errors"

var errTimeout = errors.New("timeout")

// modelStore is a model of the key-value service that keeps all previous values of a page.
type modelStore struct {
	down     bool
	revision uint64
	values   map[PageName]StoreResult
	previous map[PageName][]StoreResult
	swaps    int
}

func newModelStore() *modelStore {
	return &modelStore{values: map[PageName]StoreResult{}, previous: map[PageName][]StoreResult{}}
}

func (s *modelStore) swap(o Swap) StoreResult {
	current := s.values[o.Page]
	if current.Revision != o.IfRevision {
		current.State = StoreConflict
		return current
	}
	s.swaps++
	s.revision++
	s.previous[o.Page] = append(s.previous[o.Page], current)
	s.values[o.Page] = StoreResult{Value: o.Value, Revision: s.revision}
	return StoreResult{State: StoreOK, Revision: s.revision}
}

// read returns the current value of a page, or the previous one if stale is set.
func (s *modelStore) read(page PageName, stale bool) StoreResult {
	if previous := s.previous[page]; stale && len(previous) > 0 {
		return previous[len(previous)-1]
	}
	return s.values[page]
}

func (s *modelStore) seal(page PageName) {
	if current, found := s.values[page]; found {
		s.swap(Swap{Page: page, Value: sealedPage(), IfRevision: current.Revision})
	}
}

func (s *modelStore) remove(page PageName) { delete(s.values, page) }
