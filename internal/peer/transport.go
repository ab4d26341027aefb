package peer

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"lichenstair/internal/config"
)

// Transport sends frames to the other controllers and takes in theirs. Each
// direction has a connection of its own.
type Transport struct {
	log   *slog.Logger
	lines []chan []byte
	took  func([]byte)
	seats chan struct{}
}

const (
	dialWait  = time.Second
	writeWait = time.Second
	readWait  = 10 * time.Second
)

// NewTransport opens a line to each peer; took gets each frame that arrives,
// on a goroutine of its own.
func NewTransport(peers []config.Peer, took func([]byte), log *slog.Logger) *Transport {
	t := &Transport{log: log, took: took, seats: make(chan struct{}, 2*len(peers)+2)}
	for _, p := range peers {
		line := make(chan []byte, 1)
		t.lines = append(t.lines, line)
		go t.write(p, line)
	}
	return t
}

// Broadcast sends a frame to all peers. A newer frame takes the place of one
// that could not be sent yet.
func (t *Transport) Broadcast(frame []byte) {
	for _, line := range t.lines {
		select {
		case <-line:
		default:
		}
		select {
		case line <- frame:
		default:
		}
	}
}

func (t *Transport) write(p config.Peer, line chan []byte) {
	var conn net.Conn
	for frame := range line {
		if conn == nil {
			c, err := net.DialTimeout("tcp", p.Addr, dialWait)
			if err != nil {
				continue
			}
			conn = c
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeWait))
		if _, err := conn.Write(frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// Serve takes in frames that come to a listener.
func (t *Transport) Serve(ln net.Listener) error {
	var refused atomic.Int64
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		select {
		case t.seats <- struct{}{}:
			go func() {
				defer func() { <-t.seats }()
				t.read(conn)
			}()
		default:
			if refused.Add(1) == 1 {
				t.log.Info("more connections from peers than there are peers")
			}
			conn.Close()
		}
	}
}

func (t *Transport) read(conn net.Conn) {
	defer conn.Close()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readWait))
		frame, err := ReadFrame(conn)
		if err != nil {
			return
		}
		t.took(frame)
	}
}
