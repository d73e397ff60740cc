package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that this instance exchanges with others.
type Traffic struct {
	// In and Out are the numbers of bytes read and written.
	In, Out atomic.Int64
}

func (t *Traffic) countConn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.countConn(conn), nil
}
