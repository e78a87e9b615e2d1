package occupancy

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// tokensPerUnit is the number of prompt tokens per unit in messages. Prefilling 256 tokens
	// takes some 5 ms.
	tokensPerUnit = 256
	// maxServers limits the servers in one message: ten times those of the largest fleet.
	maxServers = 8192
	// maxReports limits the reports that a collector stores, and those that it relays or
	// receives in one message: ten times those of the largest fleet.
	maxReports = 4096
	// minLoadBytes is the smallest size of an encoded ServerLoad.
	minLoadBytes  = serverIDBytes + 2
	serverIDBytes = 4
)

// ServerLoad is the load at one backend server.
type ServerLoad struct {
	// Server is the ServerID of the server's id.
	Server uint32
	// Requests is the number of requests in flight.
	Requests int
	// Tokens is the number of prompt tokens that are still to be prefilled.
	Tokens int
}

// ServerID returns the hash that identifies a backend server in messages. The probability of a
// collision among 720 servers is 1 in 16,000; both servers then show their common load.
func ServerID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Report is the report of one entry instance.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the hash of the instance's id.
	Instance    uint64
	Incarnation uint64
	// Serial increases with every report of an incarnation.
	Serial uint64
	// AgeMS is the time since a collector received the report from the instance, in
	// milliseconds.
	AgeMS uint32
	// Works holds the encoded loads, one per server.
	Works []byte
}

// supersedes reports whether p is newer than the instance's report with this incarnation and serial.
func (p *Report) supersedes(incarnation, serial uint64) bool {
	return p.Incarnation > incarnation || p.Incarnation == incarnation && p.Serial > serial
}

// Message is sent by an instance to a collector with its report, or by a collector to another
// one with relayed reports.
type Message struct {
	// Relayed is set if a collector relays the reports that it received directly.
	Relayed bool     `cbor:"1,keyasint,omitempty"`
	Reports []Report `cbor:"2,keyasint"`
	// From is the peer address of the relaying collector.
	From string `cbor:"3,keyasint,omitempty"`
}

// Reply is the answer to a Message: reports to a collector, the other fields to an instance.
type Reply struct {
	Reports []Report `cbor:"1,keyasint,omitempty"`
	// Serial is the serial number of the instance's own report in the totals, 0 if they don't
	// include one.
	Serial uint64 `cbor:"2,keyasint,omitempty"`
	// OldestMS and MeanMS are the age of the oldest report in the totals and the mean age, in
	// milliseconds.
	OldestMS uint32 `cbor:"3,keyasint,omitempty"`
	MeanMS   uint32 `cbor:"4,keyasint,omitempty"`
	// Sums holds the encoded totals over all instances, one per server.
	Sums []byte `cbor:"5,keyasint,omitempty"`
}

// encodeLoads appends the encoded loads. Each consists of the server's hash in four bytes, little
// endian, and of the requests and the token units as unsigned varints.
func encodeLoads(data []byte, loads []ServerLoad) []byte {
	for _, w := range loads {
		data = appendLoad(data, w.Server, w.Requests, toUnits(w.Tokens))
	}
	return data
}

func appendLoad(data []byte, server uint32, requests, units int) []byte {
	data = binary.LittleEndian.AppendUint32(data, server)
	data = binary.AppendUvarint(data, uint64(max(requests, 0)))
	return binary.AppendUvarint(data, uint64(max(units, 0)))
}

// toUnits returns the tokens rounded to whole units.
func toUnits(tokens int) int { return (tokens + tokensPerUnit/2) / tokensPerUnit }

// decodeLoads appends the decoded loads of a message. Their Tokens are in units.
func decodeLoads(loads []ServerLoad, data []byte) ([]ServerLoad, error) {
	for len(data) > 0 {
		if len(loads) >= maxServers {
			return loads, errors.Errorf("more than %d servers", maxServers)
		}
		if len(data) < minLoadBytes {
			return loads, errors.New("server loads truncated")
		}
		w := ServerLoad{Server: binary.LittleEndian.Uint32(data)}
		data = data[serverIDBytes:]
		requests, length := binary.Uvarint(data)
		if length <= 0 {
			return loads, errors.New("invalid request count in server loads")
		}
		data = data[length:]
		units, length := binary.Uvarint(data)
		if length <= 0 || requests > math.MaxInt32 || units > math.MaxInt32 {
			return loads, errors.New("invalid token count or number out of range in server loads")
		}
		data = data[length:]
		w.Requests, w.Tokens = int(requests), int(units)
		loads = append(loads, w)
	}
	return loads, nil
}
