package occupancy

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// tokenUnit is the unit of prompt tokens in messages: 256 tokens are read in some 5 ms.
	tokenUnit = 256
	// maxWorks bounds the servers of one part or sum: ten times those of the largest fleet.
	maxWorks = 8192
	// maxParts bounds the parts that a collector passes on and takes from another: ten times
	// those of the largest fleet.
	maxParts = 4096
	// leastWorkBytes is the size of the smallest entry of a server.
	leastWorkBytes = serverBytes + 2
	serverBytes    = 4
)

// Work is the work at one backend server.
type Work struct {
	// Server is ServerID of the server's id.
	Server   uint32
	Requests int
	// Tokens is the number of prompt tokens that are not read yet.
	Tokens int
}

// ServerID returns the name of a backend server in messages. Two of 720 servers have the same
// with a probability of 1 in 16,000; each then shows the work of both.
func ServerID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Part is the work of one entry instance.
type Part struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the hash of the instance's id.
	Instance    uint64
	Incarnation uint64
	// Serial grows with every part of an incarnation.
	Serial uint64
	// AgeMS is the time since a collector heard the part, in milliseconds.
	AgeMS uint32
	// Works holds packed works.
	Works []byte
}

// newer tells whether the part replaces another of the same instance.
func (p *Part) newer(incarnation, serial uint64) bool {
	return p.Incarnation > incarnation || p.Incarnation == incarnation && p.Serial > serial
}

// Message is what an instance tells a collector, or a collector another one.
type Message struct {
	// Passed tells that a collector passes on the parts of the instances that report to it.
	Passed bool   `cbor:"1,keyasint,omitempty"`
	Parts  []Part `cbor:"2,keyasint"`
	// From is the peer address of the collector that passes parts on.
	From string `cbor:"3,keyasint,omitempty"`
}

// Reply is the answer to a Message: Parts to a collector, the rest to an instance.
type Reply struct {
	Parts []Part `cbor:"1,keyasint,omitempty"`
	// Serial is that of the asking instance's part in the sums, 0 when they lack it.
	Serial uint64 `cbor:"2,keyasint,omitempty"`
	// OldestMS and MeanMS are the ages of the oldest part and of a part in the mean.
	OldestMS uint32 `cbor:"3,keyasint,omitempty"`
	MeanMS   uint32 `cbor:"4,keyasint,omitempty"`
	// Sums holds packed works of all instances.
	Sums []byte `cbor:"5,keyasint,omitempty"`
}

// pack appends works in their form in messages: the server in four bytes, and the requests
// and units of tokens as variable-length numbers.
func pack(data []byte, works []Work) []byte {
	for _, w := range works {
		data = appendWork(data, w.Server, w.Requests, units(w.Tokens))
	}
	return data
}

func appendWork(data []byte, server uint32, requests, units int) []byte {
	data = binary.LittleEndian.AppendUint32(data, server)
	data = binary.AppendUvarint(data, uint64(max(requests, 0)))
	return binary.AppendUvarint(data, uint64(max(units, 0)))
}

// units rounds tokens to units.
func units(tokens int) int { return (tokens + tokenUnit/2) / tokenUnit }

// unpack appends the works of a message, with tokens in units.
func unpack(works []Work, data []byte) ([]Work, error) {
	for len(data) > 0 {
		if len(works) >= maxWorks {
			return works, errors.Errorf("more than %d servers", maxWorks)
		}
		if len(data) < leastWorkBytes {
			return works, errors.New("works are cut off")
		}
		w := Work{Server: binary.LittleEndian.Uint32(data)}
		data = data[serverBytes:]
		requests, length := binary.Uvarint(data)
		if length <= 0 {
			return works, errors.New("works hold a wrong number")
		}
		data = data[length:]
		units, length := binary.Uvarint(data)
		if length <= 0 || requests > math.MaxInt32 || units > math.MaxInt32 {
			return works, errors.New("works hold a wrong number")
		}
		data = data[length:]
		w.Requests, w.Tokens = int(requests), int(units)
		works = append(works, w)
	}
	return works, nil
}
