package site

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/distribution"
)

// versionViewer decodes configurations of one byte, their version.
type versionViewer struct{ Viewer }

// Decode implements Viewer.
func (versionViewer) Decode(raw []byte) (deployment.Deployment, error) {
	return deployment.Deployment{Version: uint64(raw[0])}, nil
}

// olderHandler is an instance that offers its configuration only as a whole.
type olderHandler struct{ *peerHandler }

// Manifest implements peer.Handler.
func (olderHandler) Manifest(context.Context, string) ([]byte, error) { return nil, peer.ErrNotFound }

// TestCopiesFromPeers guards against an instance that stays at its configuration because its peers run
// an older version of the program.
func TestCopiesFromPeers(t *testing.T) {
	for name, older := range map[string]bool{"the same version of the program": false, "an older one": true} {
		t.Run(name, func(t *testing.T) {
			source, target := newTestSite(t), newTestSite(t)
			source.platform.Viewer, target.platform.Viewer = versionViewer{}, versionViewer{}
			source.adopt([]byte{9}, "test")
			target.adopt([]byte{3}, "test")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(cancel)
			handler := peer.Handler(&peerHandler{source})
			if older {
				handler = olderHandler{&peerHandler{source}}
			}
			go func() { _ = peer.Serve(ctx, listener, handler, peer.DefaultOptions()) }() // ends with the test
			go func() { _ = target.runDistribution(ctx) }()                               // ends with the test
			target.announce(distribution.Source{Address: listener.Addr().String(), Version: 9})
			require.Eventually(t, func() bool { return target.keeper.Current().Version == 9 }, 3*time.Second, 10*time.Millisecond)
		})
	}
}
