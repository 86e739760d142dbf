package peer

import (
	"net"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/socket"
)

// Option configures a Mesh.
type Option func(*Mesh)

// WithClock sets the clock that converts between deadlines and remaining time.
func WithClock(c clock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithQueueLen bounds the messages that are queued for one peer. Further messages
// are reported as unsent.
func WithQueueLen(n int) Option { return func(m *Mesh) { m.queueLen = n } }

// WithIdleTimeout sets the time after which a stream without traffic is closed.
func WithIdleTimeout(d clock.Millis) Option { return func(m *Mesh) { m.idleTimeout = d } }

// WithMemory bounds the memory of all messages that are being received, in bytes. The stream
// that exceeds it is closed.
func WithMemory(n int64) Option { return func(m *Mesh) { m.memory.Set(n) } }

// WithHelloTimeout bounds the time from a connection to the hello of the other side.
func WithHelloTimeout(d clock.Millis) Option { return func(m *Mesh) { m.helloTimeout = d } }

// WithDialTimeout bounds the time to open a TCP connection.
func WithDialTimeout(d clock.Millis) Option { return func(m *Mesh) { m.dialTimeout = d } }

// WithDialer replaces the function that opens connections, for example to break
// connections in tests.
func WithDialer(dial func(address string, timeout clock.Millis) (net.Conn, error)) Option {
	return func(m *Mesh) { m.dial = dial }
}

func dialTCP(address string, timeout clock.Millis) (net.Conn, error) {
	d := socket.Dialer()
	d.Timeout = timeout.Duration()
	return d.Dial("tcp", address)
}
