package deployment

import "sync/atomic"

// Snapshot is a version in force with the bytes that it was decoded from, which can be passed on to
// entry instances without access to its source.
type Snapshot struct {
	Version *Version
	Raw     []byte
}

// Keeper holds the highest version seen. The version only increases, whatever its source. It is
// safe for concurrent use.
type Keeper struct {
	held atomic.Pointer[Snapshot]
}

// Adopt puts a version into force unless the current one is at least as high, and reports
// whether it did.
func (k *Keeper) Adopt(held Snapshot) bool {
	for {
		current := k.held.Load()
		if current != nil && current.Version.Version >= held.Version.Version {
			return false
		}
		if k.held.CompareAndSwap(current, &held) {
			return true
		}
	}
}

// Current returns the version in force, nil before the first one.
func (k *Keeper) Current() *Version {
	if held := k.held.Load(); held != nil {
		return held.Version
	}
	return nil
}

// Raw returns the encoded version in force, nil before the first one.
func (k *Keeper) Raw() []byte {
	if held := k.held.Load(); held != nil {
		return held.Raw
	}
	return nil
}
