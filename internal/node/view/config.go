package view

import (
	"time"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Team is one team in the list of teams.
type Team struct {
	Team     string       `json:"team"`
	Revision uint64       `json:"revision"`
	Deleted  bool         `json:"deleted"`
	Changed  time.Time    `json:"changed"`
	Used     *schema.Size `json:"used"`
}

// Change is one entry of a team's history.
type Change struct {
	Revision   uint64    `json:"revision"`
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Deleted    bool      `json:"deleted,omitempty"`
	RollbackOf uint64    `json:"rollbackOf,omitempty"`
	Body       string    `json:"body"`
}

// Published is the answer to an accepted change of configuration.
type Published struct {
	Team     string       `json:"team"`
	Revision uint64       `json:"revision"`
	Warnings jsonc.Faults `json:"warnings,omitempty"`
}
