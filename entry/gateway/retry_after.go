package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// recordRetryAfter holds back requests from a backend server that responded 503 with a
// Retry-After header, for the time that it states. Other statuses, and values that cannot
// be parsed, have no effect.
func (g *Gateway) recordRetryAfter(sentAt time.Time, choice route.Choice, status int, retryAfter string) {
	if status != http.StatusServiceUnavailable || retryAfter == "" {
		return
	}
	log := g.Log.WithFields(logrus.Fields{"backend": choice.Backend.ID, "service": choice.Backend.Service, "retry_after": retryAfter})
	wait, ok := backpressure.ParseWait(retryAfter)
	if !ok {
		log.Warn("gateway: backend server sent an invalid Retry-After value")
		return
	}
	log.Info("gateway: holding back requests from backend server after Retry-After")
	g.Routes.ApplyBackpressure(g.Clock(), sentAt, choice.Backend.ID, choice.Backend.Incarnation, backpressure.Signal{PauseFor: wait})
}

// recordRefusal applies recordRetryAfter to the refusal of an engine.
func (g *Gateway) recordRefusal(sentAt time.Time, choice route.Choice, err error) {
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		g.recordRetryAfter(sentAt, choice, refused.Status, refused.RetryAfter)
	}
}
