// Package amrpeer contains the code generated from peer.proto, the protocol
// between routers: the messages, and the DRPC client and server of the Peer
// service.
package amrpeer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
