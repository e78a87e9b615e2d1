package caller

// RequestIDHeader carries the id of a request, given by its caller or by the entry.
const RequestIDHeader = "X-Request-Id"
