package generation

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// revisionBits is the number of low bits of a Revision that hold the store's own revision. The others
// hold the generation, so that revisions and fencing tokens of a later one are higher and none is used
// twice.
const revisionBits = 40

// Max is the highest generation that a Revision can hold.
const Max = 1<<(64-revisionBits) - 1

// ErrEarlier means that a response or a revision is of an earlier generation than one that has been
// seen.
var ErrEarlier = errors.New("of an earlier generation of the store")

// Latest is the newest generation that an instance has heard of, 0 for none. It is safe for concurrent
// use.
type Latest struct{ newest atomic.Uint64 }

// Generation returns the newest generation. Whatever the store acknowledged in an earlier one may be
// lost.
func (l *Latest) Generation() uint64 { return l.newest.Load() }

// AdvanceGeneration records a generation.
func (l *Latest) AdvanceGeneration(generation uint64) {
	for {
		newest := l.newest.Load()
		if newest >= generation || l.newest.CompareAndSwap(newest, generation) {
			return
		}
	}
}

// Observe records the generation of a response. It returns ErrEarlier for a late one, which tells
// nothing about the store any more.
func (l *Latest) Observe(generation uint64) error {
	l.AdvanceGeneration(generation)
	if newest := l.Generation(); newest > generation {
		return errors.Wrapf(ErrEarlier, "generation %d, newest %d", generation, newest)
	}
	return nil
}

// StoreRevision returns the store's own revision of a Revision. It returns ErrEarlier for one of an
// earlier generation, since it names another change of the store by now.
func (l *Latest) StoreRevision(revision uint64) (uint64, error) {
	if of, newest := Of(revision), l.Generation(); revision != 0 && of != newest {
		return 0, errors.Wrapf(ErrEarlier, "generation %d, newest %d", of, newest)
	}
	return revision & (1<<revisionBits - 1), nil
}

// Revision returns the revision by which the product knows a revision of the store in a generation. A
// key that does not exist has revision 0 in both.
func Revision(generation, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return generation<<revisionBits | revision
}

// Of returns the generation of a Revision.
func Of(revision uint64) uint64 { return revision >> revisionBits }
