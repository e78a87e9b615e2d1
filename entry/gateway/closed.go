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

// noteClosed keeps requests from a backend server that turned one away for a time. Other
// refusals, and times that can't be read, ask for nothing.
func (g *Gateway) noteClosed(sentAt time.Time, choice route.Choice, status int, retryAfter string) {
	if status != http.StatusServiceUnavailable || retryAfter == "" {
		return
	}
	log := g.Log.WithFields(logrus.Fields{"backend": choice.Backend.ID, "service": choice.Backend.Service, "retry_after": retryAfter})
	wait, ok := backpressure.ParseWait(retryAfter)
	if !ok {
		log.Warn("gateway: a backend server sends a wait that can't be read")
		return
	}
	log.Info("gateway: a backend server wants no request for a while")
	g.Routes.Asked(g.Clock(), sentAt, choice.Backend.ID, choice.Backend.Incarnation, backpressure.Asked{Closed: wait})
}

// noteRefusal does the same for the refusal of an engine.
func (g *Gateway) noteRefusal(sentAt time.Time, choice route.Choice, err error) {
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		g.noteClosed(sentAt, choice, refused.Status, refused.RetryAfter)
	}
}
