package state

import (
	"math"
	"time"

	"lichenstair/internal/core"
)

// requestClass selects the queue and the priority of a request.
type requestClass int

const (
	classLease      requestClass = iota // lease requests: strict priority over all others
	classElection                       // elections and block grants: priority over all other writes
	classRead                           // watches, read-index requests, pages
	classWrite                          // jobs, the leader's records
	classBackground                     // records that can wait
	classCount
)

func (c requestClass) String() string {
	return [...]string{"lease", "election", "read", "write", "background"}[c]
}

// weights are the shares of reads, writes and background writes when the request rate does not
// suffice for all. Strict priority for reads starved the others: every change caused a response to
// the watch and every poll a confirmation of freshness, and where the service allows few requests
// per second these two used all of them. Submissions were refused for a minute and completed tasks
// were not recorded (docs/incidents/inc-b616.md).
var weights = [classCount]float64{classRead: 3, classWrite: 3, classBackground: 1}

type queuedRequest struct {
	writes   int // changes in the transaction, 0 for other requests
	send     func()
	queuedAt core.Time
}

// enqueue sends a request when the limits allow it. It calls reject if the queue is full.
func (c *Client) enqueue(class requestClass, writes int, send, reject func()) {
	if len(c.queues[class]) >= maxQueue {
		reject()
		return
	}
	if len(c.queues[class]) == 0 {
		c.virtualTime[class] = max(c.virtualTime[class], c.minVirtualTime(class)) // an empty class accumulates no credit
	}
	c.queues[class] = append(c.queues[class], queuedRequest{writes, send, c.loop.Now()})
	c.dispatch()
}

// minVirtualTime returns the lowest virtual time of the weighted classes that have requests
// waiting, without the excluded one.
func (c *Client) minVirtualTime(excluded requestClass) float64 {
	out := math.Inf(1)
	for class := classRead; class < classCount; class++ {
		if class != excluded && len(c.queues[class]) > 0 {
			out = min(out, c.virtualTime[class])
		}
	}
	if math.IsInf(out, 1) {
		return 0
	}
	return out
}

// waitTime returns how long until the limits allow the first request of a class.
func (c *Client) waitTime(class requestClass) time.Duration {
	return max(c.requests.wait(1), c.writes.wait(float64(c.queues[class][0].writes)))
}

// nextClass selects the class to serve and returns how long until the limits allow it. Reads may
// overtake writes that wait for the write rate.
func (c *Client) nextClass() (requestClass, time.Duration) {
	best := classCount
	for class := classLease; class < classCount; class++ {
		if len(c.queues[class]) == 0 {
			continue
		}
		if class < classRead {
			best = class
			break
		}
		if best == classCount || c.virtualTime[class] < c.virtualTime[best] {
			best = class
		}
	}
	if best == classCount {
		return classCount, 0
	}
	wait := c.waitTime(best)
	if wait > 0 && best != classLease && len(c.queues[classRead]) > 0 {
		if w := c.waitTime(classRead); w < wait {
			return classRead, w
		}
	}
	return best, wait
}

// dispatch sends waiting requests until the limits require a pause, and schedules its next run.
func (c *Client) dispatch() {
	for {
		class, wait := c.nextClass()
		if class == classCount {
			return
		}
		q := c.queues[class][0]
		if wait > 0 {
			if at := c.loop.Now().Add(wait); c.wakeAt == 0 || at < c.wakeAt {
				c.wakeAt = at
				c.loop.After(wait, func() {
					if c.wakeAt == at {
						c.wakeAt = 0
					}
					c.dispatch()
				})
			}
			return
		}
		c.requests.take(1)
		c.writes.take(float64(q.writes))
		c.writeMeter.add(c.loop.Now(), float64(q.writes))
		c.queues[class] = c.queues[class][1:]
		c.metrics.StateWaits.WithLabelValues(class.String()).Observe(c.loop.Now().Sub(q.queuedAt).Seconds())
		if class >= classRead {
			// A class that waits for the write rate accumulates at most one turn of credit.
			c.virtualTime[class] = min(c.virtualTime[class]+1/weights[class], c.minVirtualTime(class)+1)
		}
		q.send()
	}
}

// ReportQueues updates the metric of the depth of each queue.
func (c *Client) ReportQueues() {
	for class := classLease; class < classCount; class++ {
		c.metrics.QueueDepth.WithLabelValues("state " + class.String()).Set(float64(len(c.queues[class])))
	}
}
