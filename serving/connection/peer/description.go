package peer

import (
	"context"

	"storj.io/drpc"
)

func newEncoding(options Options, method Method) drpc.Encoding {
	return encoding{counts: options.Traffic.Method(method), limit: options.MessageBytes}
}

// description implements drpc.Description for the methods in rows.
type description struct{ options Options }

// methodEntry describes one method: its receiver function, and the method expression from which drpc
// derives the message types.
type methodEntry struct {
	method     Method
	receiver   drpc.Receiver
	expression any
}

var methodEntries = []methodEntry{
	{ExchangeMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).exchange(ctx, in.(*exchange))
	}, (*server).exchange},
	{HeadMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).head(ctx, in.(*fetch))
	}, (*server).head},
	{ManifestMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).manifest(ctx, in.(*fetch))
	}, (*server).manifest},
	{ChunkMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).chunk(ctx, in.(*fetch))
	}, (*server).chunk},
	{ActionMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).action(ctx, in.(*content))
	}, (*server).action},
	{HandOverMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).handOver(ctx, in.(*transfer))
	}, (*server).handOver},
	{FindMethod, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(*server).find(ctx, in.(*find))
	}, (*server).find},
	{AttachMethod, func(s any, _ context.Context, in, stream any) (drpc.Message, error) {
		return nil, s.(*server).attach(in.(*find), stream.(drpc.Stream))
	}, (*server).attach},
	{ForwardMethod, func(s any, _ context.Context, in, stream any) (drpc.Message, error) {
		return nil, s.(*server).forward(in.(*content), stream.(drpc.Stream))
	}, (*server).forward},
}

// NumMethods implements drpc.Description.
func (d description) NumMethods() int { return len(methodEntries) }

// Method implements drpc.Description.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(methodEntries) {
		return "", nil, nil, nil, false
	}
	r := methodEntries[n]
	return string(r.method), newEncoding(d.options, r.method), r.receiver, r.expression, true
}
