package rig

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Proxy forwards connections to a target. Its open connections can go silent while new
// ones work.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	open   map[*forwarding]bool
	dark   bool // whether new connections are not answered
	closed bool
}

// forwarding is a connection and the one to the target that belongs to it.
type forwarding struct {
	client, server net.Conn
	silent         chan struct{} // closed once nothing is forwarded any more
}

// StartProxy listens at an address until Close.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[*forwarding]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections go silent for good, without a reset, and returns
// how many there are.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	silenced := 0
	for f := range p.open {
		if !f.isSilent() {
			close(f.silent)
			silenced++
		}
	}
	return silenced
}

// SetDark makes the proxy look like a machine without power, or with power again: open
// connections go silent, and new ones get no answer until the power is back. Those from
// before never get one.
func (p *Proxy) SetDark(dark bool) {
	p.mu.Lock()
	p.dark = dark
	p.mu.Unlock()
	if dark {
		p.Silence()
	}
}

// Close ends the proxy and all connections.
func (p *Proxy) Close() {
	// The connections are discarded, so errors do not matter.
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for f := range p.open {
		_ = f.client.Close()
		_ = f.server.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		p.hangWhileDark(client)
		return
	}
	defer server.Close()
	f := &forwarding{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.open[f] = true
	if p.dark {
		close(f.silent)
	}
	closed := p.closed
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, f)
	}()
	if closed {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { f.copyBytes(server, client) })
	directions.Go(func() { f.copyBytes(client, server) })
	directions.Wait()
}

// hangWhileDark reads from a connection without an answer until the client closes it, if
// there is no power. Otherwise it returns at once.
func (p *Proxy) hangWhileDark(client net.Conn) {
	p.mu.Lock()
	dark := p.dark
	p.mu.Unlock()
	if dark {
		// The end of the connection is what is waited for.
		_, _ = io.Copy(io.Discard, client)
	}
}

func (f *forwarding) isSilent() bool {
	select {
	case <-f.silent:
		return true
	default:
		return false
	}
}

// copyBytes copies bytes until from ends. A silent connection is read and nothing is
// written, not even its end.
func (f *forwarding) copyBytes(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if f.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			// After an error the next read fails as well.
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// darkBacklog is how many connections are opened to fill the queue of a dark address.
const darkBacklog = 8

// DarkAddress occupies an address at which connections hang, as at a machine without
// power: its queue of new connections is full. It returns a function that frees it.
func DarkAddress(ip [4]byte, port int) (release func(), err error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	release = func() { _ = syscall.Close(socket) }
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: ip, Port: port}); err != nil {
		release()
		return nil, err
	}
	if err := syscall.Listen(socket, 0); err != nil {
		release()
		return nil, err
	}
	var held []net.Conn
	for range darkBacklog {
		conn, err := net.DialTimeout("tcp", (&net.TCPAddr{IP: ip[:], Port: port}).String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		held = append(held, conn)
	}
	closeSocket := release
	return func() {
		for _, conn := range held {
			_ = conn.Close()
		}
		closeSocket()
	}, nil
}
