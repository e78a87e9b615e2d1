// The case: an entry instance that finishes its requests after SIGTERM gets SIGHUP.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

const (
	streams       = 12
	events        = 40
	eventInterval = 100 * time.Millisecond
)

func main() {
	h := Start()
	for i, zone := range []string{"a", "b", "c"} {
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("engine-", i), Service: "llm", Zone: zone, Slots: 64, ServiceTime: eventInterval, Events: events})
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("app-", i), Service: "app", Zone: zone, Slots: 6, ServiceTime: 30 * time.Millisecond})
	}
	h.Publish(3, 15*time.Second)
	instance := h.Prepare("entry-1", "a")
	h.Run(instance)
	h.AwaitReady(instance)

	// Each stream lasts 4 s, and has 3 s left at SIGTERM: far less than grace_s.
	answers := make([]Answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			answers[i] = h.Send(h.Ctx, instance, http.MethodPost, "/stream/1", []byte("prompt"), 15*time.Second)
		})
	}
	time.Sleep(time.Second)
	h.Signal(instance, syscall.SIGTERM)
	time.Sleep(time.Second)
	if h.Trouble {
		h.Signal(instance, syscall.SIGHUP)
	}
	group.Wait()

	h.LogRuns()
	lost := 0
	for _, answer := range answers {
		ran := h.Runs(answer.ID) > 0
		whole := answer.Err == nil && answer.Status == http.StatusOK && strings.Count(answer.Body, "\n\n") == events
		refused := answer.Err == nil && answer.Status == http.StatusServiceUnavailable && !ran
		if !whole && !refused {
			lost++
			h.Log("LOST: %s was passed on (%t) and its answer is not complete", answer.ID, ran)
		}
	}
	h.Log("%d of %d requests lost", lost, streams)
	fmt.Printf("%d of %d requests lost\n", lost, streams)
	if lost > 0 {
		h.Finish(ruleBroken)
	}
	h.Finish(ruleHeld)
}
