package daemon

import (
	"context"
	"net/http"
	"time"

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

// Store keeps what must outlast a process. Errors are those of the package store.
type Store interface {
	lease.Store
	publication.Store
	// Calls returns the number of calls so far by kind.
	Calls() map[string]uint64
}

// Contact remembers when the store last answered.
type Contact interface {
	State() (heard time.Time, lost bool)
}

// Instances lists the live instances.
type Instances interface {
	List(ctx context.Context) (platform.Instances, error)
}

// Cloud starts and stops instances and announces reclaims.
type Cloud interface {
	capacity.Cloud
	Prices(ctx context.Context) (platform.Prices, error)
	Notices(ctx context.Context, after uint64, wait time.Duration) (platform.Notices, error)
}

// Outside is the platform that a daemon runs on.
type Outside struct {
	Store     Store
	Contact   Contact
	Instances Instances
	// Cloud is nil where instances are not ordered by the daemon.
	Cloud Cloud
	// HTTP makes calls to engines.
	HTTP *http.Client
}

// Connect returns the platform behind the addresses of the settings, in the product's
// own dialect.
func Connect(set settings.Settings) Outside {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: pool.HeadBytes}
	control := &http.Client{Transport: transport}
	heard := contact.New(transport)
	outside := Outside{
		Store:   store.New(&http.Client{Transport: heard}, set.Store.Address, set.Store.Prefix),
		Contact: heard, Instances: instance.New(control, set.Instances.Address), HTTP: control,
	}
	if set.Cloud.Address != "" {
		outside.Cloud = cloud.New(control, set.Cloud.Address)
	}
	return outside
}
