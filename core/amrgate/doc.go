// Package amrgate contains the code generated from gate.proto, the protocol
// between routers and sidecars: the messages, and the DRPC client and server of
// the Gate service.
package amrgate

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative gate.proto
