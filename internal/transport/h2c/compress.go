package h2c

import "connectrpc.com/connect"

// compressMinBytes is the size from which responses and streamed messages are
// compressed. The messages on agent links have some hundred bytes at most.
const compressMinBytes = 4096

// HandlerOptions returns the options of every handler of calls between the
// processes of the system.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCompressMinBytes(compressMinBytes))
}
