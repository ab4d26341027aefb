package state

import (
	"math"
	"time"
)

// lane is a queue of requests.
type lane int

const (
	urgent  lane = iota // tenures: before all else
	grants              // elections and grants: before all other changes
	reads               // watches, proofs, pages
	changes             // jobs, the leader's records
	records             // what can wait
	lanes
)

// weights says how reads, changes and records share the requests when there are too
// few for all. Reads once went before everything: each change that anybody made
// brought an answer to the watch and each poll a proof, and where few requests a
// second are allowed these two took all of them. Submissions were told to come back
// for a minute, and no done task was written down (docs/incidents/inc-b616.md).
var weights = [lanes]float64{reads: 3, changes: 3, records: 1}

type queued struct {
	writes int
	send   func()
}

// enqueue sends when the limits allow it; refuse is called when the queue is full.
func (c *Client) enqueue(l lane, writes int, send, refuse func()) {
	if len(c.queues[l]) >= maxQueue {
		refuse()
		return
	}
	if len(c.queues[l]) == 0 {
		c.turn[l] = max(c.turn[l], c.least(l)) // a lane saves nothing up while it is empty
	}
	c.queues[l] = append(c.queues[l], queued{writes, send})
	c.drain()
}

// least is the least turn of the lanes that wait, one left aside.
func (c *Client) least(aside lane) float64 {
	out := math.Inf(1)
	for l := reads; l < lanes; l++ {
		if l != aside && len(c.queues[l]) > 0 {
			out = min(out, c.turn[l])
		}
	}
	if math.IsInf(out, 1) {
		return 0
	}
	return out
}

// wait is how long until the first of a lane may be sent.
func (c *Client) wait(l lane) time.Duration {
	return max(c.requests.wait(1), c.writes.wait(float64(c.queues[l][0].writes)))
}

// next chooses the lane to be served, and tells how long until it may be. Reads may
// pass changes that wait for their own rate.
func (c *Client) next() (lane, time.Duration) {
	best := lanes
	for l := urgent; l < lanes; l++ {
		if len(c.queues[l]) == 0 {
			continue
		}
		if l < reads {
			best = l
			break
		}
		if best == lanes || c.turn[l] < c.turn[best] {
			best = l
		}
	}
	if best == lanes {
		return lanes, 0
	}
	wait := c.wait(best)
	if wait > 0 && best != urgent && len(c.queues[reads]) > 0 {
		if w := c.wait(reads); w < wait {
			return reads, w
		}
	}
	return best, wait
}

func (c *Client) drain() {
	for {
		l, wait := c.next()
		if l == lanes {
			return
		}
		q := c.queues[l][0]
		if wait > 0 {
			if at := c.loop.Now().Add(wait); c.waking == 0 || at < c.waking {
				c.waking = at
				c.loop.After(wait, func() {
					if c.waking == at {
						c.waking = 0
					}
					c.drain()
				})
			}
			return
		}
		c.requests.take(1)
		c.writes.take(float64(q.writes))
		c.used.add(c.loop.Now(), float64(q.writes))
		c.queues[l] = c.queues[l][1:]
		if l >= reads {
			// Nor does one that waits for its rate of changes save up more than a turn.
			c.turn[l] = min(c.turn[l]+1/weights[l], c.least(l)+1)
		}
		q.send()
	}
}
