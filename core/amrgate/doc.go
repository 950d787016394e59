// Package amrgate is the protocol between routers and sidecars: the generated
// messages and the drpc client and server of the Gate service.
package amrgate

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative gate.proto
