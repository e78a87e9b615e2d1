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
func (a *Attempt) plan(now time.Time) Operation {
	switch a.request.RollbackOf {
	case 0:
		return a.planFiles(now)
	case a.base.Version:
		return a.planManifest(now, a.baseManifest)
	}
	return a.issue(Operation{Kind: Read, Key: auditKey(a.request.RollbackOf)}, a.handleRecord)
}

func (a *Attempt) handleRecord(now time.Time, reply Reply) Operation {
	if reply.Err != nil {
		return a.retryContent(now, reply.Err)
	}
	record, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.fail(err)
	}
	return a.issue(Operation{Kind: Read, Key: ManifestPrefix + string(record.Manifest)}, func(now time.Time, reply Reply) Operation {
		if reply.Err != nil {
			return a.retryContent(now, reply.Err)
		}
		manifest, err := DecodeManifest(record.Manifest, reply.Entry.Value)
		if err != nil {
			return a.fail(err)
		}
		return a.planManifest(now, manifest)
	})
}

// retryContent retries a read of a record, manifest or chunk. If it is still missing at the
// deadline, it reports that the content was collected.
func (a *Attempt) retryContent(now time.Time, cause error) Operation {
	op := a.retry(now, cause)
	if op.Kind == Finish && errors.Is(cause, store.ErrNotFound) {
		return finishWithError(problem.New(problem.BadRequest, "the files of version %d have been deleted from the store, publish them again", a.request.RollbackOf))
	}
	return op
}

func (a *Attempt) planFiles(now time.Time) Operation {
	files, faults := service.ParseAll(a.request.Files)
	if len(faults) > 0 {
		return invalidFiles(faults)
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
			return finishWithError(problem.New(problem.BadRequest, "service %s can't be removed, version %d does not have it", name, a.base.Version))
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

func invalidFiles(faults []service.Fault) Operation {
	op := finishWithError(problem.New(problem.InvalidFile, "%s", service.Faults(faults)))
	op.Result.Faults = faults
	return op
}

func (a *Attempt) planManifest(now time.Time, manifest Manifest) Operation {
	a.manifest = manifest
	a.manifestBytes = manifest.Encode()
	if len(a.manifestBytes) > platform.MaxValueBytes {
		return finishWithError(problem.New(problem.InvalidFile, "%d services make a manifest of %d bytes, at most %d are allowed", len(manifest.Files), len(a.manifestBytes), platform.MaxValueBytes))
	}
	if a.base.Version > 0 && HashOf(a.manifestBytes) == a.base.Manifest {
		return Operation{Kind: Finish, Result: Result{Head: a.base, Unchanged: true}}
	}
	a.pendingChunks = manifest.Hashes()
	return a.readChunks(now)
}

// readChunks reads the chunks that are neither in the request nor in the version in force.
func (a *Attempt) readChunks(now time.Time) Operation {
	for len(a.pendingChunks) > 0 {
		hash := a.pendingChunks[0]
		if part, ok := a.previous.chunk(hash); ok {
			a.contents[hash] = part
		}
		if _, ok := a.contents[hash]; !ok {
			return a.issue(Operation{Kind: Read, Key: ChunkPrefix + string(hash)}, a.handleChunk)
		}
		a.pendingChunks = a.pendingChunks[1:]
	}
	return a.check(now)
}

func (a *Attempt) handleChunk(now time.Time, reply Reply) Operation {
	if reply.Err != nil {
		return a.retryContent(now, reply.Err)
	}
	hash := a.pendingChunks[0]
	if HashOf(reply.Entry.Value) != hash {
		return a.fail(errors.Errorf("chunk %s does not match its hash", hash))
	}
	a.contents[hash] = reply.Entry.Value
	return a.readChunks(now)
}

// check validates the files as one configuration and then starts the writes.
func (a *Attempt) check(now time.Time) Operation {
	_, faults := load(a.manifest, a.contents, a.previous)
	if len(faults) > 0 {
		return invalidFiles(faults)
	}
	a.head = Head{
		Version:     a.version,
		Manifest:    HashOf(a.manifestBytes),
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

// planWrites lists the writes that must precede the swap. Chunks outside the base are written
// even if they exist: their revision changes, so that a concurrent collection does not delete
// them.
func (a *Attempt) planWrites() {
	inBase := map[Hash]bool{}
	for _, hash := range a.baseManifest.Hashes() {
		inBase[hash] = true
	}
	a.writes = nil
	for _, hash := range a.manifest.Hashes() {
		if !inBase[hash] {
			a.writes = append(a.writes, Operation{Kind: Write, Key: ChunkPrefix + string(hash), Value: a.contents[hash]})
		}
	}
	a.writes = append(a.writes, Operation{Kind: Write, Key: ManifestPrefix + string(a.head.Manifest), Value: a.manifestBytes})
	if a.base.Version > 0 {
		a.writes = append(a.writes, Operation{Kind: Swap, Key: auditKey(a.base.Version), Value: a.baseBytes})
	}
}
