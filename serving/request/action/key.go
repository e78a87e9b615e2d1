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
	// BucketLength is the time whose keys share the pages of one bucket.
	BucketLength = 20 * time.Second
	// PagesPerBucket is the number of pages in a bucket.
	PagesPerBucket = 8
	// Prefix is the common prefix of all pages in the store.
	Prefix = "actions/"

	keyVersion = 7
)

// Hash names a key together with its service and account.
type Hash [16]byte

// PageName is the name of a page in the store.
type PageName string

// pageName returns the name of one page of a bucket.
func pageName(bucket int64, index int) PageName {
	return PageName(fmt.Sprintf("%s%d/%d", Prefix, bucket, index))
}

// bucket returns the number of a page's bucket.
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

// expiry returns when the last key of a page passes the retention.
func (p PageName) expiry(retention time.Duration) time.Time {
	bucket, err := p.bucket()
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli((bucket + 1) * BucketLength.Milliseconds()).Add(retention)
}

// key is a parsed idempotency key in the scope of its account.
type key struct {
	hash    Hash
	page    PageName
	created time.Time
}

func parseKey(c Claim) (key, error) {
	id, err := uuid.Parse(c.Key)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
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

// checkAge refuses a key whose record may be gone, or which lies in the future.
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
