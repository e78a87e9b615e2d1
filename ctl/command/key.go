package command

import (
	"crypto/rand"
	"encoding/base64"

	"papayaport.dev/serving/version/service"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

type key struct{}

// newKey is a generated key with its hash.
type newKey struct {
	Key       string `json:"key"`
	KeySHA256 string `json:"key_sha256"`
}

// Run generates a key and prints it with its hash. The key is not stored.
func (k *key) Run(env *environment) error {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	answer := newKey{Key: text, KeySHA256: service.KeyHash(text)}
	env.printResult(answer, func() {
		rows := newTextTable("KEY", answer.Key)
		rows.add("KEY_SHA256", answer.KeySHA256)
		rows.print(env.out)
		env.printMessage("give the key to the account's owner and put the hash into the service file as key_sha256, or into the operators' token file")
	})
	return nil
}
