package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/deployment"
)

// TestRequestDigest guards against a request that is not recognized when it comes again, and against
// sound requests that are taken for it.
func TestRequestDigest(t *testing.T) {
	digest := func(call Call, account string) uint64 {
		state := &requestState{call: &call, account: &deployment.Account{Name: account}}
		return state.digest()
	}
	call := Call{ID: "a", Method: "POST", Host: "app.example", Target: "/x/1?y", APIKey: "k", Body: []byte("body")}
	same := digest(call, "desk")
	for name, test := range map[string]struct {
		change  func(*Call)
		account string
		same    bool
	}{
		"another id":            {func(c *Call) { c.ID = "b" }, "desk", true},
		"another key of theirs": {func(c *Call) { c.APIKey = "l" }, "desk", true},
		"another caller":        {func(*Call) {}, "other", false},
		"another method":        {func(c *Call) { c.Method = "PUT" }, "desk", false},
		"another host":          {func(c *Call) { c.Host = "web.example" }, "desk", false},
		"another query":         {func(c *Call) { c.Target = "/x/1?z" }, "desk", false},
		"another body":          {func(c *Call) { c.Body = []byte("bodies") }, "desk", false},
		"no body":               {func(c *Call) { c.Body = nil }, "desk", false},
		"moved borders":         {func(c *Call) { c.Host, c.Target = "app.exampl", "e/x/1?y" }, "desk", false},
	} {
		t.Run(name, func(t *testing.T) {
			changed := call
			test.change(&changed)
			require.Equal(t, test.same, digest(changed, test.account) == same)
		})
	}
}
