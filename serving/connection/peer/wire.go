package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"papayaport.dev/serving/process/membership"
)

// Method is the name of an RPC method.
type Method string

// Methods.
const (
	ExchangeMethod Method = "/papayaport.Peer/Exchange"
	HeadMethod     Method = "/papayaport.Peer/Head"
	ManifestMethod Method = "/papayaport.Peer/Manifest"
	ChunkMethod    Method = "/papayaport.Peer/Chunk"
	ActionMethod   Method = "/papayaport.Peer/Action"
	HandOverMethod Method = "/papayaport.Peer/HandOver"
	FindMethod     Method = "/papayaport.Peer/Find"
	AttachMethod   Method = "/papayaport.Peer/Attach"
	ForwardMethod  Method = "/papayaport.Peer/Forward"
)

// notFoundCode is the drpc error code of ErrNotFound.
const notFoundCode = 404

// exchange is the message and the reply of ExchangeMethod.
type exchange struct {
	Call    uint64             `cbor:"1,keyasint"`
	Message membership.Message `cbor:"2,keyasint"`
}

// fetch is the message of HeadMethod, ManifestMethod and ChunkMethod.
type fetch struct {
	Call uint64 `cbor:"1,keyasint"`
	Hash string `cbor:"2,keyasint,omitempty"`
}

// content is the reply to a fetch, the message and the reply of ActionMethod, and the
// message of ForwardMethod.
type content struct {
	Call uint64 `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// transfer is the message of HandOverMethod.
type transfer struct {
	Call     uint64   `cbor:"1,keyasint"`
	HandOver HandOver `cbor:"2,keyasint"`
}

// find is the message of FindMethod and AttachMethod.
type find struct {
	Call      uint64 `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Offset    int64  `cbor:"3,keyasint,omitempty"`
}

// answer is the reply of HandOverMethod and FindMethod.
type answer struct {
	Call  uint64 `cbor:"1,keyasint"`
	Found bool   `cbor:"2,keyasint"`
}

// piece is one message of an Attach or Forward stream.
type piece struct {
	Call uint64 `cbor:"1,keyasint"`
	// Index is the index of the piece in the stream from 0, not counting keep-alives.
	Index     uint64 `cbor:"2,keyasint"`
	KeepAlive bool   `cbor:"3,keyasint,omitempty"`
	Last      bool   `cbor:"4,keyasint,omitempty"`
	Data      []byte `cbor:"5,keyasint,omitempty"`
}

// numberedReply is a reply that carries the number of its call. It is reset before every attempt,
// so that no data of a rejected reply remains in the next one.
type numberedReply interface {
	call() uint64
	reset()
}

func (m *exchange) call() uint64 { return m.Call }
func (m *content) call() uint64  { return m.Call }
func (m *answer) call() uint64   { return m.Call }
func (m *exchange) reset()       { *m = exchange{} }
func (m *content) reset()        { *m = content{} }
func (m *answer) reset()         { *m = answer{} }

// encoding encodes messages in CBOR and counts their bytes.
type encoding struct {
	counts *MethodTraffic
	limit  int
}

// Marshal implements drpc.Encoding.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > e.limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d are allowed", len(data), e.limit)
	}
	e.counts.Out.Add(int64(len(data)))
	return data, nil
}

// Unmarshal implements drpc.Encoding.
func (e encoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.counts.In.Add(int64(len(data)))
	return errors.Wrap(cbor.Unmarshal(data, msg), "decode message")
}
