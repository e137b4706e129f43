// Package schema contains the generated messages of the journal and of the calls
// between processes.
//
// journal.proto describes the records in the platform's log, peer.proto the calls
// between entries and agents, and platform.proto the calls to the stand-ins for the
// platform.
package schema

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative journal.proto peer.proto platform.proto
