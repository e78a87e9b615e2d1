package command

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type uuidCommand struct{}

// Run prints a UUIDv7.
func (u *uuidCommand) Run(env *environment) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate UUID")
	}
	env.printResult(map[string]string{"uuid": id.String()}, func() { _, _ = fmt.Fprintln(env.out, id) })
	return nil
}
