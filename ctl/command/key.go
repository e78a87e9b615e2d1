package command

import (
	"crypto/rand"
	"encoding/base64"

	"papayaport.dev/serving/version/service"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

type key struct{}

// made is a new key with its hash.
type made struct {
	Key       string `json:"key"`
	KeySHA256 string `json:"key_sha256"`
}

// Run makes a key. The key itself is kept nowhere.
func (k *key) Run(env *environment) error {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	answer := made{Key: text, KeySHA256: service.KeyHash(text)}
	env.show(answer, func() {
		rows := newRows("KEY", answer.Key)
		rows.add("KEY_SHA256", answer.KeySHA256)
		rows.print(env.out)
		env.say("give the key to the account's owner and put the hash into the service file as key_sha256, or into the operators' token file")
	})
	return nil
}
