package main_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/platform/standin"
)

const (
	// crowdDialTimeout and crowdSendTimeout bound what one client of a crowd
	// does before it counts as settled, also if the server doesn't respond.
	crowdDialTimeout = 2 * time.Second
	crowdSendTimeout = 4 * time.Second
	// crowdReconnectDelay is how long a client waits after the end of its
	// connection before it opens the next one.
	crowdReconnectDelay = 200 * time.Millisecond
	// trickleInterval is the time between two pieces of an endless message.
	trickleInterval = 100 * time.Millisecond
	// endlessBytes is what a client sends at once of a message without end. It
	// is just below the limit of net/http on heads, so that the server waits
	// for the rest.
	endlessBytes = 900 << 10
	// legalBodyBytes is the size of a body just below the limit of 256 KiB.
	legalBodyBytes = 256<<10 - 200
	// missingBytes is how far before its end a body stops.
	missingBytes = 10
)

// crowd is a number of clients that send the same kind of request to one
// address. Each has one connection at a time and opens another one when the
// server has closed it.
type crowd struct {
	clients int
	// run opens the connection of a client, sends its request and returns when
	// the connection has ended. It calls sent when all but an endless rest has
	// been sent. It has to return soon after ctx has ended.
	run func(ctx context.Context, address string, client int, sent func())
}

// runningCrowd is a crowd whose clients have been started.
type runningCrowd struct {
	cancel      context.CancelFunc
	clients     sync.WaitGroup
	settled     sync.WaitGroup // clients that have not yet sent a request or lost a connection
	connections atomic.Int64   // connections opened so far
}

func (c crowd) start(ctx context.Context, address string) *runningCrowd {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningCrowd{cancel: cancel}
	r.settled.Add(c.clients)
	for i := range c.clients {
		settle := sync.OnceFunc(r.settled.Done)
		r.clients.Go(func() {
			for ctx.Err() == nil {
				r.connections.Add(1)
				c.run(ctx, address, i, settle)
				settle()
				select {
				case <-ctx.Done():
				case <-time.After(crowdReconnectDelay):
				}
			}
		})
	}
	return r
}

// stop closes the connections and waits until the clients have ended.
func (r *runningCrowd) stop() {
	r.cancel()
	r.clients.Wait()
}

// sendFunc sends the request of a client. The connection has a write deadline.
type sendFunc func(conn io.Writer, client int) error

// tcpCrowd returns a crowd whose clients send a request over a TCP connection,
// and trickle, if it is not empty, again and again after it. They discard what
// the server sends.
func tcpCrowd(clients int, send sendFunc, trickle string) crowd {
	return crowd{clients: clients, run: func(ctx context.Context, address string, client int, sent func()) {
		conn, err := (&net.Dialer{Timeout: crowdDialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
		_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
		if err := send(conn, client); err != nil {
			return
		}
		sent()
		_ = conn.SetWriteDeadline(time.Time{})
		for {
			select {
			case <-ended:
				return
			case <-time.After(trickleInterval):
				if _, err := io.WriteString(conn, trickle); err != nil {
					return
				}
			}
		}
	}}
}

// sendRepeated sends start and then block again and again, total bytes or more.
func sendRepeated(start, block string, total int) sendFunc {
	repeated := strings.Repeat(block, max(1, 32<<10/len(block)))
	return func(conn io.Writer, _ int) error {
		_, err := io.WriteString(conn, start)
		for sent := 0; sent < total && err == nil; sent += len(repeated) {
			_, err = io.WriteString(conn, repeated)
		}
		return err
	}
}

// sendText sends a text.
func sendText(text string) sendFunc {
	return func(conn io.Writer, _ int) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// sendInTurn gives each client one of several ways to send, in turn.
func sendInTurn(ways ...sendFunc) sendFunc {
	return func(conn io.Writer, client int) error { return ways[client%len(ways)](conn, client) }
}

// headStart returns the first lines of a head.
func headStart(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + siteRoute.Host + "\r\n"
}

// headCrowd returns a crowd that sends heads without end, with one long line or
// many short ones, and heads that end beyond any limit.
func headCrowd(clients int, path string) crowd {
	const longLine, shortLine = "xxxxxxxxxxxxxxxx", "X-A: 1\r\n"
	overLimit := headStart(http.MethodPost, path) + strings.Repeat("X-A: "+strings.Repeat("x", 200)+"\r\n", endlessBytes/200) + "\r\n"
	return tcpCrowd(clients, sendInTurn(
		sendRepeated(headStart(http.MethodPost, path)+"X-Long: ", longLine, endlessBytes),
		sendRepeated(headStart(http.MethodPost, path), shortLine, endlessBytes),
		sendText(overLimit),
	), shortLine)
}

// emptyLineCrowd returns a crowd that sends empty lines without end, on a new
// connection or after a request.
func emptyLineCrowd(clients int) crowd {
	request := headStart(http.MethodPost, "/unknown/") + "Content-Length: 0\r\n\r\n"
	return tcpCrowd(clients, sendInTurn(
		sendRepeated("", "\r\n", endlessBytes), sendRepeated(request, "\r\n", endlessBytes),
	), "\r\n")
}

// bodySending is how the clients of a crowd send a body.
type bodySending struct {
	method, path string // a path that ends with a slash is followed by a random id
	contentType  string
	body         []byte
	chunkBytes   int // size of the chunks; 0 stands for a body with Content-Length
	pieceBytes   int // size of the pieces, with a pause between them; 0 stands for one piece
	// stopsShort is true if seven of eight clients stop missingBytes before the
	// end of the body.
	stopsShort bool
}

// pieceInterval is the time between two pieces of a body.
const pieceInterval = 5 * time.Millisecond

// crowd returns a crowd that sends the body over HTTP/1.1. Its connections stay
// open.
func (s bodySending) crowd(clients int) crowd {
	encoded, length := s.body, fmt.Sprintf("Content-Length: %d", len(s.body))
	if s.chunkBytes > 0 {
		encoded, length = encodeChunks(s.body, s.chunkBytes), "Transfer-Encoding: chunked"
	}
	pieceBytes := s.pieceBytes
	if pieceBytes == 0 {
		pieceBytes = len(encoded)
	}
	return tcpCrowd(clients, func(conn io.Writer, client int) error {
		path := s.path
		if strings.HasSuffix(path, "/") {
			path += fmt.Sprintf("%016x", rand.Uint64())
		}
		_, err := fmt.Fprintf(conn, "%sContent-Type: %s\r\n%s: %d\r\n%s\r\n\r\n", headStart(s.method, path), s.contentType, standin.DeadlineHeader, siteAnswerTimeout.Milliseconds(), length)
		rest := encoded
		if s.stopsShort && client%8 != 7 {
			rest = rest[:len(rest)-missingBytes]
		}
		for err == nil && len(rest) > 0 {
			n := min(pieceBytes, len(rest))
			_, err = conn.Write(rest[:n])
			rest = rest[n:]
			if s.pieceBytes > 0 {
				time.Sleep(pieceInterval)
			}
		}
		return err
	}, "")
}

// encodeChunks returns a body in the chunked transfer encoding.
func encodeChunks(body []byte, chunkBytes int) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	encoded.WriteString("0\r\n\r\n")
	return encoded.Bytes()
}

// jobSending returns how a job is sent to the caller address.
func jobSending(body []byte) bodySending {
	return bodySending{method: http.MethodPost, path: siteRoute.PathPrefix, contentType: "application/json", body: body, stopsShort: true}
}

// http2HeadCrowd returns a crowd that sends the head of an HTTP/2 request in
// CONTINUATION frames without end.
func http2HeadCrowd(clients int) crowd {
	// headBytes is just below the limit of net/http on the decoded size.
	const headBytes, fieldsPerFrame = endlessBytes, 50
	long := hpack.HeaderField{Name: "x-a", Value: strings.Repeat("x", 200), Sensitive: true}
	start := http2Frames(func(f *http2.Framer) error {
		return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeFields(
			hpack.HeaderField{Name: ":method", Value: http.MethodPost}, hpack.HeaderField{Name: ":scheme", Value: "http"},
			hpack.HeaderField{Name: ":path", Value: "/"}, hpack.HeaderField{Name: ":authority", Value: siteRoute.Host},
		)})
	})
	more := http2Frames(func(f *http2.Framer) error {
		return f.WriteContinuation(1, false, encodeFields(slices.Repeat([]hpack.HeaderField{long}, fieldsPerFrame)...))
	})
	trickle := http2Frames(func(f *http2.Framer) error {
		return f.WriteContinuation(1, false, encodeFields(hpack.HeaderField{Name: "x-a", Value: "1"}))
	})
	settings := http2Frames(func(f *http2.Framer) error { return f.WriteSettings() })
	head := http2.ClientPreface + settings + start + strings.Repeat(more, headBytes/(fieldsPerFrame*int(long.Size())))
	return tcpCrowd(clients, sendText(head), trickle)
}

// http2StreamCrowd returns a crowd that opens streams on HTTP/2 connections and
// sends no body on them.
func http2StreamCrowd(clients, streams int, path, contentType string) crowd {
	settings := http2Frames(func(f *http2.Framer) error { return f.WriteSettings() })
	fields := encodeFields(
		hpack.HeaderField{Name: ":method", Value: http.MethodPost}, hpack.HeaderField{Name: ":scheme", Value: "http"},
		hpack.HeaderField{Name: ":path", Value: path}, hpack.HeaderField{Name: ":authority", Value: siteRoute.Host},
		hpack.HeaderField{Name: "content-type", Value: contentType},
	)
	heads := http2Frames(func(f *http2.Framer) error {
		var err error
		for i := 0; i < streams && err == nil; i++ {
			err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: fields, EndHeaders: true})
		}
		return err
	})
	return tcpCrowd(clients, sendText(http2.ClientPreface+settings+heads), "")
}

// http2Frames returns the frames that write writes.
func http2Frames(write func(*http2.Framer) error) string {
	var frames bytes.Buffer
	// Writes to a buffer don't fail.
	_ = write(http2.NewFramer(&frames, nil))
	return frames.String()
}

// encodeFields returns the encoding of header fields.
func encodeFields(fields ...hpack.HeaderField) []byte {
	var encoded bytes.Buffer
	encoder := hpack.NewEncoder(&encoded)
	for _, f := range fields {
		// Writes to a buffer don't fail.
		_ = encoder.WriteField(f)
	}
	return encoded.Bytes()
}

// http2Streams is the number of concurrent requests of a client that sends
// bodies over HTTP/2. They share a connection unless they are sent while it is
// being established.
const http2Streams = 4

// http2BodyCrowd returns a crowd that sends bodies over HTTP/2 that stop short
// of their end.
func http2BodyCrowd(clients int, s bodySending) crowd {
	return crowd{clients: clients, run: func(ctx context.Context, address string, _ int, sent func()) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		client, closeAll := h2c.NewBreakableClient(nil)
		defer closeAll()
		var streams, unsent sync.WaitGroup
		unsent.Add(http2Streams)
		for range http2Streams {
			body := &stoppingBody{ctx: ctx, rest: bytes.NewReader(s.body[:len(s.body)-missingBytes]), stopped: sync.OnceFunc(unsent.Done)}
			streams.Go(func() {
				defer body.stopped()
				path := s.path
				if strings.HasSuffix(path, "/") {
					path += fmt.Sprintf("%016x", rand.Uint64())
				}
				req, err := http.NewRequestWithContext(ctx, s.method, "http://"+address+path, body)
				if err != nil {
					return
				}
				req.ContentLength = int64(len(s.body))
				req.Host = siteRoute.Host
				req.Header.Set("Content-Type", s.contentType)
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
		// A server that doesn't grant a window must not delay the test.
		timeout := time.AfterFunc(crowdSendTimeout, sent)
		defer timeout.Stop()
		unsent.Wait()
		sent()
		streams.Wait()
	}}
}

// stoppingBody is the body of a request that stops before its end and waits.
type stoppingBody struct {
	ctx     context.Context
	rest    *bytes.Reader
	stopped func() // called when all but the missing end has been read
}

// Read returns the rest of the body and then waits until the context ends.
func (b *stoppingBody) Read(p []byte) (int, error) {
	if b.rest.Len() > 0 {
		return b.rest.Read(p)
	}
	b.stopped()
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// linkSending returns how a message that stops short is sent on an agent link.
func linkSending(size int) bodySending {
	body := binary.BigEndian.AppendUint32([]byte{0}, uint32(size))
	return bodySending{method: http.MethodPost, path: wirepb.AgentLinkLinkProcedure, contentType: "application/connect+proto", body: append(body, make([]byte, size)...)}
}

// joinSending returns how a message that stops short is sent to an entry's peer
// address.
func joinSending(size int) bodySending {
	return bodySending{method: http.MethodPost, path: wirepb.EntryPeerJoinProcedure, contentType: "application/proto", body: make([]byte, size), stopsShort: true}
}
