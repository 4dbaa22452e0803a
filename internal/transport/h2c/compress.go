package h2c

import (
	"compress/gzip"
	"errors"
	"io"

	"connectrpc.com/connect"
)

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
	return connect.WithHandlerOptions(
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip",
			func() connect.Decompressor { return refusingDecompressor{} },
			func() connect.Compressor { return gzip.NewWriter(io.Discard) }),
	)
}

// errCompressed is returned for a compressed message of a client. Only the bytes on the
// wire are counted against the memory for messages, and no process of the system sends
// compressed requests.
var errCompressed = errors.New("compressed requests are not accepted")

// refusingDecompressor decompresses nothing.
type refusingDecompressor struct{}

func (refusingDecompressor) Read([]byte) (int, error) { return 0, errCompressed }
func (refusingDecompressor) Reset(io.Reader) error    { return errCompressed }
func (refusingDecompressor) Close() error             { return nil }
