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
	call := c.calls.Add(1)
	return c.receivePieces(ctx, address, AttachMethod, call, &find{Call: call, RequestID: requestID, Offset: offset}, receive)
}

// Forward sends a request to a peer, which serves it in place of this instance, and passes the pieces
// of the answer to receive until it is complete. It is sent once. After ErrNotFound, or an *Error
// without Sent, the peer does not serve the request; after another error it may.
func (c *Client) Forward(ctx context.Context, address string, request []byte, receive func(piece []byte) error) error {
	call := c.calls.Add(1)
	return c.receivePieces(ctx, address, ForwardMethod, call, &content{Call: call, Data: request}, receive)
}

// receivePieces makes a call whose reply is a stream of pieces.
func (c *Client) receivePieces(ctx context.Context, address string, method Method, call uint64, in drpc.Message, receive func([]byte) error) error {
	conn, _, err := c.open(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: string(method), Err: err}
	}
	enc := newEncoding(c.options, method)
	err = conn.withProgressTimeout(ctx, c.options.Silence, func(ctx context.Context) error {
		return streamCall(ctx, conn, method, enc, call, in, receive)
	})
	if err != nil {
		return c.closeFailed(address, method, conn, err)
	}
	c.pool.Put(address, conn)
	return nil
}

func streamCall(ctx context.Context, conn *connection, method Method, enc drpc.Encoding, call uint64, in drpc.Message, receive func([]byte) error) error {
	stream, err := conn.NewStream(ctx, string(method), enc)
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
	return readPieces(stream, enc, call, receive)
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
