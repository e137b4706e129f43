package view

import (
	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

// Problem is the body of every answer that is not a success.
type Problem struct {
	Code       codes.Code `json:"code"`
	Name       string     `json:"name"`
	Message    string     `json:"message"`
	Ran        codes.Ran  `json:"ran"`
	Retry      bool       `json:"retry"`
	RetryAfter string     `json:"retryAfter,omitempty"`
	// Faults lists every fault of a body that was refused.
	Faults any `json:"faults,omitempty"`
}
