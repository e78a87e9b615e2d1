package action

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"papayaport.dev/serving/process/problem"
)

const (
	// BucketLength is the time span of a bucket: keys created within it share the bucket's pages.
	BucketLength = 20 * time.Second
	// PagesPerBucket is the number of pages in a bucket.
	PagesPerBucket = 8
	// Prefix is the prefix of the store keys of all pages.
	Prefix = "actions/"

	uuidVersion = 7
)

// Hash identifies an idempotency key within its service and account.
type Hash [16]byte

// PageName is the key of a page in the store.
type PageName string

// pageName returns the name of one page of a bucket.
func pageName(bucket int64, index int) PageName {
	return PageName(fmt.Sprintf("%s%d/%d", Prefix, bucket, index))
}

// bucket returns the number of the page's bucket, or an error if the name is malformed.
func (p PageName) bucket() (int64, error) {
	text, index, _ := strings.Cut(strings.TrimPrefix(string(p), Prefix), "/")
	if _, err := strconv.ParseUint(index, 10, 8); err != nil {
		return 0, err
	}
	return strconv.ParseInt(text, 10, 64)
}

func (p PageName) valid() bool {
	_, err := p.bucket()
	return err == nil && strings.HasPrefix(string(p), Prefix)
}

// expiry returns the time at which the newest key of the page is older than retention.
func (p PageName) expiry(retention time.Duration) time.Time {
	bucket, err := p.bucket()
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli((bucket + 1) * BucketLength.Milliseconds()).Add(retention)
}

// key is a parsed idempotency key, scoped to its service and account.
type key struct {
	hash    Hash
	page    PageName
	created time.Time
}

func parseKey(c Claim) (key, error) {
	id, err := uuid.Parse(c.Key)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return key{}, problem.New(problem.KeyInvalid, "Idempotency-Key %.40q is not a UUIDv7", c.Key)
	}
	millis := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	hash := hashOf(c.Service, c.Account, id)
	index := int(xxhash.Sum64(hash[:]) % PagesPerBucket)
	return key{
		hash:    hash,
		page:    pageName(millis/BucketLength.Milliseconds(), index),
		created: time.UnixMilli(millis),
	}, nil
}

func hashOf(service, account string, id uuid.UUID) Hash {
	digest := sha256.New()
	for _, part := range []string{service, account} {
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(id[:])
	return Hash(digest.Sum(nil)[:16])
}

// checkAge returns an error if the key is older than the retry window, so that its record
// may have been removed, or if its timestamp is more than skew ahead of now.
func (k key) checkAge(now time.Time, window, skew time.Duration) error {
	if now.Sub(k.created) >= window {
		return problem.New(problem.KeyExpired, "the key is from %s, older than the retry window of %s",
			k.created.UTC().Format(time.RFC3339), window).WithOutcome(problem.Unknown)
	}
	if k.created.Sub(now) > skew {
		return problem.New(problem.KeyInvalid, "the key is from %s, more than %s in the future",
			k.created.UTC().Format(time.RFC3339), skew)
	}
	return nil
}
