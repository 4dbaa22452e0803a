package h2c

import "connectrpc.com/connect"

// compressMinBytes is the size from which responses and streamed messages are
// compressed. The messages on agent links have some hundred bytes at most.
const compressMinBytes = 4096

// maxMessageBytes bounds a received message, also after decompression. A message on an
// agent link may start as many tasks as an endpoint has slots, with payloads of up to
// 256 KiB.
const maxMessageBytes = 32 << 20

// HandlerOptions returns the options of every handler of calls between the
// processes of the system.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes))
}
