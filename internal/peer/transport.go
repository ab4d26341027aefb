package peer

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"lichenstair/internal/config"
)

// Transport sends frames to the other controllers and receives theirs. Each direction has a
// connection of its own.
type Transport struct {
	log          *slog.Logger
	queues       []peerQueue   // one per peer
	onFrame      func([]byte)  // called with each received frame
	inboundSlots chan struct{} // limits the connections from peers
}

// peerQueue holds the frames that have not been sent to a peer yet. Heartbeats have a place of their
// own: only the latest one matters, and it must neither displace other frames nor wait behind them.
type peerQueue struct {
	heartbeat chan []byte // for one frame
	messages  chan []byte
}

// maxMessages bounds the frames other than heartbeats that wait for a peer.
const maxMessages = 64

const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	readTimeout  = 10 * time.Second
)

// NewTransport starts a sender for each peer. onFrame is called with each received frame, on
// the goroutine of its connection.
func NewTransport(peers []config.Peer, onFrame func([]byte), log *slog.Logger) *Transport {
	t := &Transport{log: log, onFrame: onFrame, inboundSlots: make(chan struct{}, 2*len(peers)+2)}
	for _, p := range peers {
		queue := peerQueue{make(chan []byte, 1), make(chan []byte, maxMessages)}
		t.queues = append(t.queues, queue)
		go t.sendLoop(p, queue)
	}
	return t
}

// Broadcast queues a frame for each peer. A heartbeat takes the place of one that has not been sent
// yet; any other frame the place of the oldest one if too many wait.
func (t *Transport) Broadcast(frame []byte) {
	for _, queue := range t.queues {
		if hasKind(frame, kindHeartbeat) {
			enqueue(queue.heartbeat, frame)
		} else {
			enqueue(queue.messages, frame)
		}
	}
}

// enqueue adds a frame to a queue, in place of the oldest frame if the queue is full.
func enqueue(queue chan []byte, frame []byte) {
	for {
		select {
		case queue <- frame:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// next waits for a frame to send.
func (q peerQueue) next() []byte {
	select {
	case frame := <-q.messages:
		return frame
	case frame := <-q.heartbeat:
		return frame
	}
}

// sendLoop sends queued frames to a peer and reconnects as needed.
func (t *Transport) sendLoop(p config.Peer, queue peerQueue) {
	var conn net.Conn
	var closed chan struct{}
	for {
		frame := queue.next()
		if conn != nil {
			select {
			case <-closed:
				conn.Close()
				conn = nil
			default:
			}
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp", p.Addr, dialTimeout)
			if err != nil {
				continue
			}
			conn, closed = c, make(chan struct{})
			go awaitClose(c, closed)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// awaitClose waits until the peer has closed a connection, then closes the channel. The
// peer sends nothing on it, and a write alone may not show that it is closed: a controller
// whose process was paused for longer than the read timeout of the others kept writing into
// connections that they had closed, and was considered silent until it was restarted.
func awaitClose(c net.Conn, closed chan struct{}) {
	_, _ = io.Copy(io.Discard, c)
	close(closed)
}

// Serve accepts connections from peers and receives their frames until the listener fails.
func (t *Transport) Serve(ln net.Listener) error {
	var refused atomic.Int64
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		select {
		case t.inboundSlots <- struct{}{}:
			go func() {
				defer func() { <-t.inboundSlots }()
				t.receiveLoop(conn)
			}()
		default:
			if refused.Add(1) == 1 {
				t.log.Info("too many connections from peers; closing the excess ones")
			}
			conn.Close()
		}
	}
}

// receiveLoop receives frames until the connection fails or no frame arrives for
// readTimeout.
func (t *Transport) receiveLoop(conn net.Conn) {
	defer conn.Close()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		frame, err := ReadFrame(conn)
		if err != nil {
			return
		}
		t.onFrame(frame)
	}
}
