package peer

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Attach reads the pieces of a request's answer from a peer from offset on and passes each to
// receive, until the answer is complete. After an error the answer is incomplete; the caller
// may attach again at the offset that it has reached.
func (c *Client) Attach(ctx context.Context, address, requestID string, offset int64, receive func(piece []byte) error) error {
	conn, _, err := c.open(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: string(AttachMethod), Err: err}
	}
	in := &find{Call: c.calls.Add(1), RequestID: requestID, Offset: offset}
	err = conn.withProgressTimeout(ctx, c.options.Silence, func(ctx context.Context) error {
		return attach(ctx, conn, newEncoding(c.options, AttachMethod), in, receive)
	})
	if err != nil {
		return c.closeFailed(address, AttachMethod, conn, err)
	}
	c.pool.Put(address, conn)
	return nil
}

func attach(ctx context.Context, conn *connection, enc drpc.Encoding, in *find, receive func([]byte) error) error {
	stream, err := conn.NewStream(ctx, string(AttachMethod), enc)
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

// readPieces passes the pieces of a call to receive and checks their order.
func readPieces(stream drpc.Stream, enc drpc.Encoding, call uint64, receive func([]byte) error) error {
	next := uint64(0)
	for {
		var p piece
		if err := stream.MsgRecv(&p, enc); err != nil {
			return attachError(err)
		}
		if p.Call != call || p.Index != next {
			return errors.Wrapf(ErrForeignReply, "piece %d of call %d, want piece %d of call %d", p.Index, p.Call, next, call)
		}
		if p.KeepAlive {
			continue
		}
		if p.Last {
			return nil
		}
		next++
		if err := receive(p.Data); err != nil {
			return errors.Wrap(err, "process piece")
		}
	}
}

// attachError returns ErrTruncated for an early end of the stream, and other errors wrapped.
func attachError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrTruncated
	}
	return errors.Wrap(err, "read piece")
}
