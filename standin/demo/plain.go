package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/plain"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

func (d *demo) publish(ctx context.Context) error {
	if err := d.system.PublishTenants(ctx); err != nil {
		return err
	}
	if err := d.system.WaitReady(ctx); err != nil {
		return err
	}
	d.detail("%d files in force on %d entry instances", len(d.system.ServiceFiles()), len(d.system.Entries))
	return nil
}

func (d *demo) lookup(ctx context.Context) error {
	call := caller.Call{Method: http.MethodGet, Path: "/arrangements-app/status/urn-17"}
	answer, _, err := d.call(ctx, call)
	if err != nil {
		return err
	}
	d.detail("%s answered %q for %s", answer.Instance, answer.Result, answer.Path)
	return nil
}

// call sends a clinic's call to the plain service and returns the decoded and the raw answer.
func (d *demo) call(ctx context.Context, call caller.Call) (plain.Answer, []byte, error) {
	var answer plain.Answer
	reply, err := d.clientFor("amman-central-clinic").Call(ctx, call)
	if err != nil {
		return answer, nil, err
	}
	if reply.Status != http.StatusOK {
		return answer, nil, errors.Errorf("status %d: %s", reply.Status, reply.Body)
	}
	return answer, reply.Body, errors.Wrap(json.Unmarshal(reply.Body, &answer), "decoding an answer")
}

func (d *demo) booking(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "creating an idempotency key")
	}
	call := caller.Call{
		Method: http.MethodPost,
		Path:   "/arrangements-app/bookings",
		Key:    key.String(),
		Body:   text.Booking(9, "booking-9"),
	}
	_, first, err := d.call(ctx, call)
	if err != nil {
		return err
	}
	_, second, err := d.call(ctx, call)
	if err != nil {
		return errors.Wrap(err, "repeating the booking")
	}
	if !bytes.Equal(first, second) {
		return errors.Errorf("the repeated booking was answered with %s, the first with %s", second, first)
	}
	runs, err := d.runsOf(ctx, key.String())
	if err != nil {
		return err
	}
	if runs != 1 {
		return errors.Errorf("the booking ran %d times, want once", runs)
	}
	d.detail("both answers are the same, the booking ran once")
	return nil
}

// runsOf returns the number of runs of a key at all servers of the plain service.
func (d *demo) runsOf(ctx context.Context, key string) (int, error) {
	total := 0
	for _, p := range launch.OfService(d.tenant(tenants.Rahmeh).Plain, d.system.Services) {
		runs, err := d.system.ServiceRuns(ctx, p)
		if err != nil {
			return 0, err
		}
		total += runs.Keys[key]
	}
	return total, nil
}
