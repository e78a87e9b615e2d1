package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/membership"
)

// relay forwards connections to a server. When epoch is incremented, it discards all further
// bytes of the connections that are open, while new connections work.
type relay struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, target: target}
	go r.run()
	return r
}

func (r *relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		epoch := r.epoch.Load()
		go r.copy(near, far, epoch)
		go r.copy(far, near, epoch)
	}
}

func (r *relay) copy(to, from net.Conn, epoch int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.epoch.Load() != epoch {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	target, _ := serve(t, "127.0.0.1:0", &handler{}, testOptions())
	r := newRelay(t, target)
	address := r.listener.Addr().String()
	options := testOptions()
	c := newClient(t, options)
	_, err := c.Head(t.Context(), address)
	require.NoError(t, err)

	r.epoch.Add(1)
	begin := time.Now()
	head, err := c.Head(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, "head", string(head))
	require.GreaterOrEqual(t, time.Since(begin), options.Silence)
	require.Equal(t, int64(2), options.Traffic.Dials.Load())

	r.epoch.Add(1)
	var failure *peer.Error
	require.ErrorAs(t, c.HandOver(t.Context(), address, peer.HandOver{RequestID: "r"}), &failure)
	require.ErrorIs(t, failure, peer.ErrNoProgress)
	require.True(t, failure.Sent)
	require.NoError(t, c.HandOver(t.Context(), address, peer.HandOver{RequestID: "r"}))
}

func TestUnresponsivePeerFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c := newClient(t, testOptions())
	_, err = c.Head(t.Context(), listener.Addr().String())
	require.ErrorIs(t, err, peer.ErrNoProgress)
	err = c.Attach(t.Context(), listener.Addr().String(), "r", 0, func([]byte) error { return nil })
	require.ErrorIs(t, err, peer.ErrNoProgress)
}

func TestSlowPeerAndDeadline(t *testing.T) {
	address, _ := serve(t, "127.0.0.1:0", &handler{delay: 300 * time.Millisecond}, testOptions())
	c := newClient(t, testOptions())
	_, err := c.Exchange(t.Context(), address, membership.Message{})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Exchange(ctx, address, membership.Message{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = c.Exchange(t.Context(), address, membership.Message{})
	require.NoError(t, err, "the late reply of the previous call must not affect this one")
}

func TestRestartedPeer(t *testing.T) {
	address, stop := serve(t, "127.0.0.1:0", &handler{}, testOptions())
	c := newClient(t, testOptions())
	_, err := c.Head(t.Context(), address)
	require.NoError(t, err)
	stop()
	var failure *peer.Error
	require.Eventually(t, func() bool {
		err := c.HandOver(t.Context(), address, peer.HandOver{RequestID: "r"})
		require.ErrorAs(t, err, &failure)
		return !failure.Sent
	}, 5*time.Second, 10*time.Millisecond)
	serve(t, address, &handler{}, testOptions())
	_, err = c.Head(t.Context(), address)
	require.NoError(t, err)
}

func TestOversizedMessage(t *testing.T) {
	address, _ := serve(t, "127.0.0.1:0", &handler{}, testOptions())
	options := testOptions()
	options.MessageBytes = 64 << 10
	c := newClient(t, options)
	var failure *peer.Error
	err := c.HandOver(t.Context(), address, peer.HandOver{RequestID: "r", Body: make([]byte, 65<<10)})
	require.ErrorAs(t, err, &failure)
	require.ErrorIs(t, failure, peer.ErrTooLarge)
	require.False(t, failure.Sent)
	_, err = c.Chunk(t.Context(), address, "c")
	require.Error(t, err, "a reply of 1 MiB must exceed the limit")
	_, err = c.Head(t.Context(), address)
	require.NoError(t, err)

	small := testOptions()
	small.MessageBytes = 64 << 10
	limited, _ := serve(t, "127.0.0.1:0", &handler{}, small)
	big := newClient(t, testOptions())
	require.Error(t, big.HandOver(t.Context(), limited, peer.HandOver{RequestID: "r", Body: make([]byte, 1<<20)}))
	require.NoError(t, big.HandOver(t.Context(), limited, peer.HandOver{RequestID: "r"}))
}

// wrongCallServer replies to every call with the number of another call.
type wrongCallServer struct{}

func (wrongCallServer) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

func (wrongCallServer) Unmarshal(data []byte, msg drpc.Message) error {
	return cbor.Unmarshal(data, msg)
}

func (wrongCallServer) HandleRPC(stream drpc.Stream, rpc string) error {
	var in map[int]any
	if err := stream.MsgRecv(&in, wrongCallServer{}); err != nil {
		return err
	}
	data := 2
	if rpc == string(peer.AttachMethod) {
		data = 5
	}
	return stream.MsgSend(map[int]any{1: in[1].(uint64) + 1, data: []byte("of another call")}, wrongCallServer{})
}

func TestReplyOfAnotherCallIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = drpcserver.New(wrongCallServer{}).Serve(ctx, listener) }()
	c := newClient(t, testOptions())
	data, err := c.Action(t.Context(), listener.Addr().String(), []byte("q"))
	require.ErrorIs(t, err, peer.ErrForeignReply)
	require.Nil(t, data)
	err = c.Attach(t.Context(), listener.Addr().String(), "r", 0, func([]byte) error {
		t.Error("a piece of another call was passed to receive")
		return nil
	})
	require.ErrorIs(t, err, peer.ErrForeignReply)
}

func TestConnectionLimit(t *testing.T) {
	options := testOptions()
	options.Connections = 1
	address, _ := serve(t, "127.0.0.1:0", &handler{}, options)
	first := newClient(t, testOptions())
	_, err := first.Head(t.Context(), address)
	require.NoError(t, err)
	_, err = newClient(t, testOptions()).Head(t.Context(), address)
	require.Error(t, err)
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool {
		_, err := newClient(t, testOptions()).Head(t.Context(), address)
		return err == nil
	}, 5*time.Second, 20*time.Millisecond)
}

func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(certificate)

	options := testOptions()
	options.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	address, _ := serve(t, "127.0.0.1:0", &handler{}, options)
	trusting := testOptions()
	trusting.TLS = &tls.Config{RootCAs: roots}
	head, err := newClient(t, trusting).Head(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, "head", string(head))
	distrusting := testOptions()
	distrusting.TLS = &tls.Config{RootCAs: x509.NewCertPool()}
	_, err = newClient(t, distrusting).Head(t.Context(), address)
	var failure *peer.Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)
	_, err = newClient(t, testOptions()).Head(t.Context(), address)
	require.Error(t, err)
}
