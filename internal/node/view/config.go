package view

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Team is a team in the list of teams.
type Team struct {
	Team     string    `json:"team"`
	Revision uint64    `json:"revision"`
	Deleted  bool      `json:"deleted"`
	Changed  time.Time `json:"changed"`
	// Used is the sum of the resources of the team's granted batch tasks, which counts
	// against its quota.
	Used *schema.Size `json:"used"`
}

// Change is one change in the history of a team's configuration.
type Change struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Deleted  bool      `json:"deleted,omitempty"`
	// RollbackOf is the revision whose body the change restored, 0 if none.
	RollbackOf uint64 `json:"rollbackOf,omitempty"`
	Body       string `json:"body"`
}

// Published is the response to an accepted change of a configuration.
type Published struct {
	Team     string       `json:"team"`
	Revision uint64       `json:"revision"`
	Warnings jsonc.Faults `json:"warnings,omitempty"`
}
