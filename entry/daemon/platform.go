package daemon

import (
	"context"
	"net/http"
	"time"

	"papayaport.dev/serving/connection/answer"
	"papayaport.dev/serving/connection/pool"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/cloud"
	"papayaport.dev/serving/process/platform/contact"
	"papayaport.dev/serving/process/platform/instance"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/settings"
	"papayaport.dev/serving/version/publication"
)

// Store is the key-value service for data that must survive restarts. Errors are those of
// package store.
type Store interface {
	lease.Store
	publication.Store
	// Calls returns the number of calls by kind.
	Calls() map[string]uint64
}

// Contact records when the store last answered.
type Contact interface {
	State() (heard time.Time, lost bool)
}

// Instances lists the live instances.
type Instances interface {
	List(ctx context.Context) (platform.Instances, error)
}

// Cloud is the cloud API, which starts and stops instances and announces reclaims.
type Cloud interface {
	capacity.Cloud
	Prices(ctx context.Context) (platform.Prices, error)
	Notices(ctx context.Context, after uint64, wait time.Duration) (platform.Notices, error)
}

// Platform holds the clients of the platform that a daemon runs on.
type Platform struct {
	Store     Store
	Contact   Contact
	Instances Instances
	// Cloud is nil if the daemon does not manage instances.
	Cloud Cloud
	// HTTP is the client for calls to engines.
	HTTP *http.Client
}

// NewPlatform returns clients for the platform at the addresses of the settings, which use the
// product's own API dialect.
func NewPlatform(set settings.Settings) Platform {
	transport := answer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: pool.MaxHeadBytes})
	control := &http.Client{Transport: transport}
	contactTransport := contact.New(transport)
	clients := Platform{
		Store:   store.New(&http.Client{Transport: contactTransport}, set.Store.Address, set.Store.Prefix),
		Contact: contactTransport, Instances: instance.New(control, set.Instances.Address), HTTP: control,
	}
	if set.Cloud.Address != "" {
		clients.Cloud = cloud.New(control, set.Cloud.Address)
	}
	return clients
}
