// Package platform defines the HTTP protocols of the platform's services: the key-value service,
// the instance list, the cloud API and the weight store.
//
// # Usage
//
// The clients in the packages below this one use these types, and the stand-ins serve them. Bodies
// are JSON, durations are in milliseconds.
package platform

// Paths of the key-value service. Every request counts as one call.
//
//	GET    /v1/keys/KEY                              answers Entry, or 404
//	PUT    /v1/keys/KEY[?if_revision=N][&lease=L]    body: Value; answers Entry, or 409 with Entry
//	DELETE /v1/keys/KEY[?if_revision=N]              answers 204, or 409 with Entry
//	GET    /v1/keys?prefix=P                         answers Entries
//	GET    /v1/watch?prefix=P&after=REVISION&wait_ms=W   answers Entries changed after REVISION
//	POST   /v1/leases/NAME/acquire                   body: LeaseRequest; answers Lease, or 409 with Lease
//	POST   /v1/leases/NAME/renew                     body: LeaseRequest; answers Lease, or 409 with Lease
//	POST   /v1/leases/NAME/release                   body: LeaseRequest; answers 204
//
// if_revision=0 requires that the key does not exist. 429 means that the rate limit is exceeded, 503
// an outage. A write whose connection breaks before the response may or may not have taken effect.
const (
	KeysPath   = "/v1/keys"
	WatchPath  = "/v1/watch"
	LeasesPath = "/v1/leases"
)

// MaxValueBytes is the maximum size of a value of the key-value service, in bytes.
const MaxValueBytes = 1 << 20

// Value is the body of a write.
type Value struct {
	Value []byte `json:"value"`
}

// Entry is a key with its value. Revision increases with every write to the store and is 0 for a
// key that does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Entries is a response with several entries and the store's revision.
type Entries struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// LeaseRequest acquires, renews or releases a lease.
type LeaseRequest struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing,omitempty"`
	TTLMS   int64  `json:"ttl_ms,omitempty"`
}

// Lease is the state of a lease. Fencing is the fencing token, which increases with every change of
// the holder.
type Lease struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	TTLMS   int64  `json:"ttl_ms"`
}

// Paths of the instance list and the cloud API.
//
//	GET    /v1/instances                      answers Instances (may lag)
//	GET    /v1/prices                         answers Prices
//	POST   /v1/instances                      body: Start; answers Instance, or 503 when refused
//	DELETE /v1/instances/ID                   answers 204
//	GET    /v1/notices?after=N&wait_ms=W      answers Notices
//
// Paths of the weight store.
//
//	POST   /v1/weights/MODEL                  answers 200 when fetched, 429 over the rate limit
const (
	InstancesPath = "/v1/instances"
	PricesPath    = "/v1/prices"
	NoticesPath   = "/v1/notices"
	WeightsPath   = "/v1/weights"
)

// Role is the kind of process that an instance runs.
type Role string

// Roles of an instance.
const (
	EntryRole   Role = "entry"
	BackendRole Role = "backend"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Role          Role   `json:"role"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
	// MemoryMB is the memory limit of the instance's process in megabytes, 0 when unknown.
	MemoryMB int `json:"memory_mb,omitempty"`
	// PricePerHour is the price of the instance in dollars per hour.
	PricePerHour float64 `json:"price_per_hour"`
	Leaving      bool    `json:"leaving,omitempty"`
	// LeaveInMS is the time until a leaving instance stops, in milliseconds.
	LeaveInMS int64 `json:"leave_in_ms,omitempty"`
}

// Instances is the instance list.
type Instances struct {
	Instances []Instance `json:"instances"`
	// AgeMS is the age of the list in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Price is the current price of a machine class in one failure domain.
type Price struct {
	Class         string  `json:"class"`
	FailureDomain string  `json:"failure_domain"`
	Reclaimable   bool    `json:"reclaimable"`
	PricePerHour  float64 `json:"price_per_hour"`
}

// Prices lists the current prices.
type Prices struct {
	Prices []Price `json:"prices"`
}

// Start requests a new instance. At most one instance is started for a RequestID.
type Start struct {
	RequestID     string `json:"request_id"`
	Service       string `json:"service"`
	Class         string `json:"class"`
	FailureDomain string `json:"failure_domain"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Sequence    uint64 `json:"sequence"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	LeaveInMS   int64  `json:"leave_in_ms"`
}

// Notices is a sequence of consecutive notices.
type Notices struct {
	Notices []Notice `json:"notices"`
	Next    uint64   `json:"next"`
}
