package store

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

func decode(r *http.Request, into any) error {
	err := json.NewDecoder(r.Body).Decode(into)
	return errors.Wrap(err, "invalid request body")
}
