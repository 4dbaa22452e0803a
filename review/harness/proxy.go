package main

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// firstRetransmission is the time after which a client's kernel sends a segment
	// again that was not acknowledged. It doubles with each further time.
	firstRetransmission = 200 * time.Millisecond
	// copyBytes is how much a proxy forwards at once.
	copyBytes = 16 << 10
)

// proxy forwards the connections of clients to a machine that can be suspended. A
// suspended machine receives nothing: what clients send, and the end of a connection, then
// arrives with the first retransmission after it has woken.
type proxy struct {
	listener  net.Listener
	machine   string // address
	suspended atomic.Bool
}

// newProxy returns a proxy that runs until close.
func newProxy(machine string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, machine: machine}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer client.Close()
	machine, err := net.Dial("tcp", p.machine)
	if err != nil {
		return
	}
	go func() {
		// The end of the client's connection is the end of this copy.
		_, _ = io.Copy(client, machine)
		_ = client.Close()
	}()
	buffer := make([]byte, copyBytes)
	for err == nil {
		var n int
		n, err = client.Read(buffer)
		p.awaitArrival()
		if n > 0 {
			_, _ = machine.Write(buffer[:n])
		}
	}
	_ = machine.Close()
}

// awaitArrival returns when a segment that is sent now arrives at the machine.
func (p *proxy) awaitArrival() {
	for wait := firstRetransmission; p.suspended.Load(); wait *= 2 {
		time.Sleep(wait)
	}
}
