package deployment

import "sync/atomic"

// Held is a version in force with the bytes that it was read from, so that it can be
// passed on to entry instances that don't reach its source.
type Held struct {
	Version *Version
	Raw     []byte
}

// Keeper holds the highest version seen. Versions only rise, whichever source is read.
type Keeper struct {
	held atomic.Pointer[Held]
}

// Adopt puts a version into force unless a version at least as high is. It tells whether
// it did.
func (k *Keeper) Adopt(held Held) bool {
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

// Raw returns the bytes of the version in force, nil before the first one.
func (k *Keeper) Raw() []byte {
	if held := k.held.Load(); held != nil {
		return held.Raw
	}
	return nil
}
