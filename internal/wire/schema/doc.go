// Package schema holds the messages of the journal and of the calls between
// processes, generated from the .proto files beside it.
//
// journal.proto describes what the platform's log carries, peer.proto the
// calls between entries and agents, platform.proto those to the stand-ins.
package schema

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative journal.proto peer.proto platform.proto
