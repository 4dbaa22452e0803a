// Package h2c provides the HTTP servers and clients for the calls between the
// processes of the system: HTTP/2 over plain TCP, with health checks that close
// a connection whose peer does not respond.
package h2c

import (
	"net"
	"net/http"
	"time"
)

const (
	// pingAfter is how long a connection may receive nothing before a ping is
	// sent.
	pingAfter = 400 * time.Millisecond
	// pingTimeout is how long a ping waits for its acknowledgement before the
	// connection is closed.
	pingTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection without calls is kept open, and thus
	// for how long it is pinged.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
)

// NewBreakableClient returns a client and a function that closes all its
// connections at once and makes further dials fail. Cancelling the context of a
// stream does not end it at once if the peer does not respond, since the HTTP
// library also waits for the stream's request to end.
func NewBreakableClient(meter *Meter) (client *http.Client, closeAll func()) {
	var tracker connTracker
	client = NewClient(false, meter)
	transport := client.Transport.(*http.Transport)
	transport.DialContext = tracker.wrapDial(transport.DialContext)
	return client, tracker.closeAll
}

// NewClient returns a client with its own connections. With healthChecks, a
// connection that receives nothing is pinged, and closed if the ping times out.
// Without them, the user of the client has to detect a peer that does not
// respond. The meter, which may be nil, counts the bytes.
func NewClient(healthChecks bool, meter *Meter) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols:       &protocols,
		DialContext:     meter.wrapDial(dialer.DialContext),
		IdleConnTimeout: idleTimeout,
	}
	if healthChecks {
		transport.HTTP2 = &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		}
	}
	return &http.Client{Transport: transport}
}
