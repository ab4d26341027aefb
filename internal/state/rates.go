package state

import (
	"math"
	"time"

	"lichenstair/internal/core"
)

// bucket is a token bucket with a capacity of one second's tokens.
type bucket struct {
	loop      core.Loop
	rate      float64 // tokens per second
	level     float64 // available tokens, negative after a request for more than the capacity
	updatedAt core.Time
}

func newBucket(loop core.Loop, rate float64) *bucket {
	return &bucket{loop: loop, rate: rate, level: max(rate, 1), updatedAt: loop.Now()}
}

func (b *bucket) refill() {
	now := b.loop.Now()
	b.level = min(max(b.rate, 1), b.level+now.Sub(b.updatedAt).Seconds()*b.rate)
	b.updatedAt = now
}

// wait returns how long until n tokens can be taken. A request for more than the capacity is
// admitted when the bucket is full and leaves a negative level.
func (b *bucket) wait(n float64) time.Duration {
	if n == 0 {
		return 0
	}
	b.refill()
	short := min(n, max(b.rate, 1)) - b.level
	if short <= 0 {
		return 0
	}
	return time.Duration(short/b.rate*float64(time.Second)) + time.Millisecond
}

func (b *bucket) take(n float64) { b.level -= n }

// setRate changes the rate from now on.
func (b *bucket) setRate(rate float64) {
	b.refill()
	b.rate = rate
	b.level = min(b.level, max(rate, 1))
}

// rateMeter measures an event rate with an exponentially decaying average over meterWindow.
type rateMeter struct {
	sum       float64 // decayed sum of the events
	updatedAt core.Time
}

const meterWindow = 3 * time.Second

func (m *rateMeter) rate(now core.Time) float64 {
	m.sum *= math.Exp(-now.Sub(m.updatedAt).Seconds() / meterWindow.Seconds())
	m.updatedAt = now
	return m.sum / meterWindow.Seconds()
}

func (m *rateMeter) add(now core.Time, n float64) {
	m.rate(now)
	m.sum += n
}
