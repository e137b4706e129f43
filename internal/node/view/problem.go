package view

import (
	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

// Problem is the body of every error response.
type Problem struct {
	Code    codes.Code `json:"code"`
	Name    string     `json:"name"`
	Message string     `json:"message"`
	// Ran says whether the request has run.
	Ran codes.Ran `json:"ran"`
	// Retry says whether it makes sense to send the request again, and RetryAfter
	// after which delay, as a Go duration.
	Retry      bool   `json:"retry"`
	RetryAfter string `json:"retryAfter,omitempty"`
	// Faults lists the faults of a request body that was refused.
	Faults any `json:"faults,omitempty"`
}
