package publication

import (
	"time"

	"github.com/pkg/errors"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// plan builds the new manifest, or first reads the one to roll back to.
func (a *Attempt) plan(now time.Time) Order {
	switch a.request.RollbackOf {
	case 0:
		return a.planFiles(now)
	case a.base.Version:
		return a.planManifest(now, a.baseManifest)
	}
	return a.order(Order{Kind: Read, Key: auditKey(a.request.RollbackOf)}, a.recordRead)
}

func (a *Attempt) recordRead(now time.Time, reply Reply) Order {
	if reply.Err != nil {
		return a.lost(now, reply.Err)
	}
	record, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.broken(err)
	}
	return a.order(Order{Kind: Read, Key: ManifestPrefix + string(record.Manifest)}, func(now time.Time, reply Reply) Order {
		if reply.Err != nil {
			return a.lost(now, reply.Err)
		}
		manifest, err := DecodeManifest(record.Manifest, reply.Entry.Value)
		if err != nil {
			return a.broken(err)
		}
		return a.planManifest(now, manifest)
	})
}

// lost retries a read of content, and says so when it was collected.
func (a *Attempt) lost(now time.Time, cause error) Order {
	order := a.retry(now, cause)
	if order.Kind == Finish && errors.Is(cause, store.ErrNotFound) {
		return refuse(problem.New(problem.BadRequest, "the files of version %d are no longer held, publish them again", a.request.RollbackOf))
	}
	return order
}

func (a *Attempt) planFiles(now time.Time) Order {
	files, faults := service.ParseAll(a.request.Files)
	if len(faults) > 0 {
		return invalid(faults)
	}
	byName := map[string][]byte{}
	for _, data := range a.request.Files {
		file, _ := service.Parse("", data)
		byName[file.Name] = data
	}
	entries := make([]ManifestFile, 0, len(files))
	for name, data := range byName {
		entries = append(entries, split(name, data, a.contents))
	}
	base := a.baseManifest
	if a.request.Replace {
		base = Manifest{}
	}
	for _, name := range a.request.Remove {
		if !contains(a.baseManifest, name) {
			return refuse(problem.New(problem.BadRequest, "service %s can't be removed, version %d does not have it", name, a.base.Version))
		}
	}
	return a.planManifest(now, merge(base, entries, a.request.Remove))
}

func contains(manifest Manifest, name string) bool {
	for _, file := range manifest.Files {
		if file.Service == name {
			return true
		}
	}
	return false
}

func invalid(faults []service.Fault) Order {
	order := refuse(problem.New(problem.InvalidFile, "%s", service.Faults(faults)))
	order.Result.Faults = faults
	return order
}

func (a *Attempt) planManifest(now time.Time, manifest Manifest) Order {
	a.manifest = manifest
	a.raw = manifest.Encode()
	if len(a.raw) > platform.MaxValueBytes {
		return refuse(problem.New(problem.InvalidFile, "%d services make a manifest of %d bytes, at most %d are allowed", len(manifest.Files), len(a.raw), platform.MaxValueBytes))
	}
	if a.base.Version > 0 && HashOf(a.raw) == a.base.Manifest {
		return Order{Kind: Finish, Result: Result{Head: a.base, Unchanged: true}}
	}
	a.wanted = manifest.Hashes()
	return a.gather(now)
}

// gather reads the chunks that are neither in the request nor in force here.
func (a *Attempt) gather(now time.Time) Order {
	for len(a.wanted) > 0 {
		hash := a.wanted[0]
		if part, ok := a.previous.chunk(hash); ok {
			a.contents[hash] = part
		}
		if _, ok := a.contents[hash]; !ok {
			return a.order(Order{Kind: Read, Key: ChunkPrefix + string(hash)}, a.chunkRead)
		}
		a.wanted = a.wanted[1:]
	}
	return a.check(now)
}

func (a *Attempt) chunkRead(now time.Time, reply Reply) Order {
	if reply.Err != nil {
		return a.lost(now, reply.Err)
	}
	hash := a.wanted[0]
	if HashOf(reply.Entry.Value) != hash {
		return a.broken(errors.Errorf("chunk %s has another hash", hash))
	}
	a.contents[hash] = reply.Entry.Value
	return a.gather(now)
}

// check refuses files that make no valid configuration together.
func (a *Attempt) check(now time.Time) Order {
	_, faults := load(a.manifest, a.contents, a.previous)
	if len(faults) > 0 {
		return invalid(faults)
	}
	a.head = Head{
		Version:     a.version,
		Manifest:    HashOf(a.raw),
		Publication: a.request.ID,
		Operator:    a.request.Operator,
		Time:        now.UTC(),
		BaseVersion: a.base.Version,
		Note:        a.request.Note,
		Changes:     changes(a.baseManifest, a.manifest),
		RollbackOf:  a.request.RollbackOf,
	}
	if a.base.Version > 0 {
		a.head.Previous = HashOf(a.baseBytes)
	}
	a.planWrites()
	return a.write()
}

// planWrites lists what must stand in the store before the swap. Chunks outside the
// base are written even if they exist, so that their revision moves and a collection
// under way spares them.
func (a *Attempt) planWrites() {
	held := map[Hash]bool{}
	for _, hash := range a.baseManifest.Hashes() {
		held[hash] = true
	}
	a.writes = nil
	for _, hash := range a.manifest.Hashes() {
		if !held[hash] {
			a.writes = append(a.writes, Order{Kind: Write, Key: ChunkPrefix + string(hash), Value: a.contents[hash]})
		}
	}
	a.writes = append(a.writes, Order{Kind: Write, Key: ManifestPrefix + string(a.head.Manifest), Value: a.raw})
	if a.base.Version > 0 {
		a.writes = append(a.writes, Order{Kind: Swap, Key: auditKey(a.base.Version), Value: a.baseBytes})
	}
}
