package caller

// RequestIDHeader is the header field with a request's id, which the caller or the entry assigns.
const RequestIDHeader = "X-Request-Id"
