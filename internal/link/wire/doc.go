// Package wire holds the messages between hillreel's processes, generated from wire.proto.
package wire

//go:generate protoc --plugin=protoc-gen-go=../../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto
