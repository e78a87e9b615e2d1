package tenants

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/service"
)

func TestServiceFilesAreValidAndKeysFit(t *testing.T) {
	for _, name := range []string{Villarreal, Rahmeh} {
		t.Run(name, func(t *testing.T) {
			tenant, err := Get(name)
			require.NoError(t, err)
			require.Len(t, tenant.Services, 2)
			for file, data := range tenant.Files {
				parsed, faults := service.Parse(file, data)
				require.Empty(t, faults)
				require.Len(t, parsed.Accounts, len(tenant.Accounts))
				for i, account := range parsed.Accounts {
					require.Equal(t, tenant.Accounts[i], account.Name)
					sum := sha256.Sum256([]byte(Key(account.Name)))
					require.Equal(t, hex.EncodeToString(sum[:]), account.KeySHA256)
				}
			}
		})
	}
	_, err := Get("nobody")
	require.Error(t, err)
}
