package publication

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/platform"
)

const (
	// KeptVersions is the number of latest versions whose contents stay in the store.
	KeptVersions = 100
	// CollectAge is how long a chunk or manifest must have been unused before it is deleted.
	CollectAge = time.Hour
	// collectInterval is the time between two collections of one instance.
	collectInterval = 30 * time.Minute
)

// mark records since when an entry has been unused, with its revision.
type mark struct {
	revision uint64
	since    time.Time
}

// Marks holds the marks of unused entries by key.
type Marks map[string]mark

// Unused returns the entries that are not kept and have been unused, with the same revision, for
// CollectAge. It updates the marks.
func (m Marks) Unused(now time.Time, entries []platform.Entry, kept map[string]bool) []platform.Entry {
	present := map[string]bool{}
	var unused []platform.Entry
	for _, entry := range entries {
		if kept[entry.Key] {
			continue
		}
		present[entry.Key] = true
		previous, ok := m[entry.Key]
		if !ok || previous.revision != entry.Revision {
			m[entry.Key] = mark{entry.Revision, now}
			continue
		}
		if now.Sub(previous.since) >= CollectAge {
			unused = append(unused, entry)
		}
	}
	for key := range m {
		if !present[key] {
			delete(m, key)
		}
	}
	return unused
}

// Collector deletes the chunks and manifests of old versions from the store.
type Collector struct {
	store Store
	// chosen reports whether this instance is one of those that collect.
	chosen func() bool
	marks  Marks
	log    logrus.FieldLogger
}

// NewCollector returns a collector that is active while chosen returns true.
func NewCollector(store Store, chosen func() bool, log logrus.FieldLogger) *Collector {
	return &Collector{store: store, chosen: chosen, marks: Marks{}, log: log}
}

// Run collects until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jitter(collectInterval)):
		}
		if !c.chosen() {
			continue
		}
		deleted, err := c.Collect(ctx, time.Now())
		if err != nil {
			c.log.WithError(err).Warn("publication: garbage collection failed")
			continue
		}
		c.log.WithField("deleted", deleted).Debug("publication: garbage collection done")
	}
}

// Collect deletes the unused chunks and manifests and returns their number. It lists them first
// and then swaps the head with itself, which proves that the head read was the latest. A
// publication that has used a listed value since then has written it again, so that the delete
// by revision leaves it in place.
func (c *Collector) Collect(ctx context.Context, now time.Time) (int, error) {
	entries, err := c.list(ctx)
	if err != nil {
		return 0, err
	}
	head, err := c.confirmHead(ctx)
	if err != nil {
		return 0, err
	}
	kept, err := c.keptKeys(ctx, head)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, entry := range c.marks.Unused(now, entries, kept) {
		err := c.store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil {
			return deleted, errors.Wrapf(err, "deleting %s", entry.Key)
		}
		deleted++
	}
	return deleted, nil
}

func (c *Collector) list(ctx context.Context) ([]platform.Entry, error) {
	chunks, err := c.store.List(ctx, ChunkPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "listing chunks")
	}
	manifests, err := c.store.List(ctx, ManifestPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "listing manifests")
	}
	return append(chunks.Entries, manifests.Entries...), nil
}

func (c *Collector) confirmHead(ctx context.Context) (Head, error) {
	entry, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, errors.Wrap(err, "reading head")
	}
	_, err = c.store.Put(ctx, HeadKey, entry.Value, entry.Revision)
	if err != nil {
		return Head{}, errors.Wrap(err, "swapping the head with itself")
	}
	return DecodeHead(entry.Value)
}

// keptKeys returns the keys that the latest versions use.
func (c *Collector) keptKeys(ctx context.Context, head Head) (map[string]bool, error) {
	kept := map[string]bool{}
	for count := 0; count < KeptVersions; count++ {
		key := ManifestPrefix + string(head.Manifest)
		if !kept[key] {
			manifest, err := c.manifest(ctx, head.Manifest)
			if err != nil {
				return nil, err
			}
			kept[key] = true
			for _, hash := range manifest.Hashes() {
				kept[ChunkPrefix+string(hash)] = true
			}
		}
		if head.Version == 1 {
			return kept, nil
		}
		entry, err := c.store.Get(ctx, auditKey(head.Version-1))
		if err != nil {
			return nil, errors.Wrapf(err, "reading the audit record of version %d", head.Version-1)
		}
		head, err = DecodeHead(entry.Value)
		if err != nil {
			return nil, err
		}
	}
	return kept, nil
}

func (c *Collector) manifest(ctx context.Context, hash Hash) (Manifest, error) {
	entry, err := c.store.Get(ctx, ManifestPrefix+string(hash))
	if err != nil {
		return Manifest{}, errors.Wrapf(err, "reading manifest %s", hash)
	}
	return DecodeManifest(hash, entry.Value)
}
