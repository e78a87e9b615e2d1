package peer

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Attach reads the pieces of a request's answer at a peer from offset on and passes each
// to receive, until the answer is complete. An error means that the answer is not
// complete; the caller may attach again behind what it has.
func (c *Client) Attach(ctx context.Context, address, requestID string, offset int64, receive func(piece []byte) error) error {
	l, _, err := c.open(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: string(AttachMethod), Err: err}
	}
	in := &find{Call: c.calls.Add(1), RequestID: requestID, Offset: offset}
	err = l.guarded(ctx, c.options.Silence, func(ctx context.Context) error {
		return attach(ctx, l, encode(c.options, AttachMethod), in, receive)
	})
	if err != nil {
		return c.failed(address, AttachMethod, l, err)
	}
	c.pool.Put(address, l)
	return nil
}

func attach(ctx context.Context, l *link, enc drpc.Encoding, in *find, receive func([]byte) error) error {
	stream, err := l.NewStream(ctx, string(AttachMethod), enc)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	defer func() { _ = stream.Close() }()
	if err := stream.MsgSend(in, enc); err != nil {
		return errors.Wrap(err, "send request")
	}
	if err := stream.CloseSend(); err != nil {
		return errors.Wrap(err, "send request")
	}
	return readPieces(stream, enc, in.Call, receive)
}

// readPieces checks that every piece is the next one of this call.
func readPieces(stream drpc.Stream, enc drpc.Encoding, call uint64, receive func([]byte) error) error {
	next := uint64(0)
	for {
		var p piece
		if err := stream.MsgRecv(&p, enc); err != nil {
			return readError(err)
		}
		if p.Call != call || p.Index != next {
			return errors.Wrapf(ErrForeign, "piece %d of call %d, want piece %d of call %d", p.Index, p.Call, next, call)
		}
		if p.KeepAlive {
			continue
		}
		if p.Last {
			return nil
		}
		next++
		if err := receive(p.Data); err != nil {
			return errors.Wrap(err, "pass piece on")
		}
	}
}

// readError tells an early end of the stream from an error of the peer.
func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrTruncated
	}
	return errors.Wrap(err, "read piece")
}
