// Package h2c makes the HTTP servers and clients that the processes of the
// system use between themselves: HTTP/2 over plain TCP, with health checks
// that find a connection that has gone silent.
package h2c

import (
	"net"
	"net/http"
	"time"
)

const (
	// pingAfter is how long a connection may be quiet before a health check.
	pingAfter = 400 * time.Millisecond
	// pingTimeout is how long a health check waits for its answer.
	pingTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection stays open, and is pinged.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 500 * time.Millisecond
)

// Breakable returns a client and a function that breaks its connections at
// once, whatever is open on them. Ending the context of a stream is not enough
// when the other side is silent: the library then waits for the stream's
// request to end as well.
func Breakable(meter *Meter) (client *http.Client, breakAll func()) {
	var conns conns
	client = Client(false, meter)
	transport := client.Transport.(*http.Transport)
	transport.DialContext = conns.dial(transport.DialContext)
	return client, conns.close
}

// Client returns a client with its own connections. When checked, connections
// that have calls open and stay quiet are pinged and dropped when silent;
// otherwise the caller watches its streams itself. A meter, which may be nil,
// counts the bytes.
func Client(checked bool, meter *Meter) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols:       &protocols,
		DialContext:     meter.dial(dialer.DialContext),
		IdleConnTimeout: idleTimeout,
	}
	if checked {
		transport.HTTP2 = &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		}
	}
	return &http.Client{Transport: transport}
}
