package action

import (
	"bytes"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// page is the stored form of the records of one page. Each owner is stored only once.
type page struct {
	Owners  []Member `cbor:"1,keyasint"`
	Records []row    `cbor:"2,keyasint"`
	// Sealed is set once all keys of the page have expired. A sealed page accepts no claims.
	Sealed bool `cbor:"3,keyasint,omitempty"`
}

// errSealed is the error of decode for a sealed page, which accepts no more claims.
var errSealed = errors.New("page is sealed")

// sealedPage returns the stored form of a sealed page.
func sealedPage() []byte {
	data, err := cbor.Marshal(page{Sealed: true})
	if err != nil {
		panic(err) // encoding a constant value can't fail
	}
	return data
}

// row is the stored form of a record. Owner is an index into page.Owners.
type row struct {
	_           struct{} `cbor:",toarray"`
	Hash        []byte
	Owner       int
	Nonce       uint64
	Fingerprint uint64
	Outcome     uint8
	Status      int
	Answer      *Answer
}

// encode returns the stored form. The encoding is deterministic: equal records give equal
// bytes.
func (r records) encode() ([]byte, error) {
	stored := page{Records: make([]row, 0, len(r))}
	indexes := map[Member]int{}
	for _, hash := range r.hashes() {
		record := r[hash]
		index, known := indexes[record.Owner]
		if !known {
			index = len(stored.Owners)
			indexes[record.Owner] = index
			stored.Owners = append(stored.Owners, record.Owner)
		}
		stored.Records = append(stored.Records, row{
			Hash: hash[:], Owner: index, Nonce: record.Nonce, Fingerprint: uint64(record.Fingerprint),
			Outcome: uint8(record.Outcome), Status: record.Status, Answer: record.Answer,
		})
	}
	data, err := cbor.Marshal(stored)
	return data, errors.Wrap(err, "encode page")
}

func (r records) hashes() []Hash {
	hashes := make([]Hash, 0, len(r))
	for hash := range r {
		hashes = append(hashes, hash)
	}
	slices.SortFunc(hashes, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	return hashes
}

// decode parses the stored form of a page. Empty data is an empty page. For a sealed page it
// returns errSealed.
func decode(data []byte) (records, error) {
	if len(data) == 0 {
		return records{}, nil
	}
	var stored page
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode page")
	}
	if stored.Sealed {
		return nil, errSealed
	}
	decoded := make(records, len(stored.Records))
	for _, r := range stored.Records {
		if len(r.Hash) != len(Hash{}) || r.Owner < 0 || r.Owner >= len(stored.Owners) || r.Outcome > uint8(NotRun) {
			return nil, errors.New("decode page: malformed record")
		}
		hash := Hash(r.Hash)
		decoded[hash] = Record{
			Hash: hash, Owner: stored.Owners[r.Owner], Nonce: r.Nonce, Fingerprint: Fingerprint(r.Fingerprint),
			Outcome: Outcome(r.Outcome), Status: r.Status, Answer: r.Answer,
		}
	}
	return decoded, nil
}
