package state

import (
	"math"
	"time"

	"lichenstair/internal/core"
)

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	loop  core.Loop
	rate  float64
	level float64
	at    core.Time
}

func newBucket(loop core.Loop, rate float64) *bucket {
	return &bucket{loop: loop, rate: rate, level: max(rate, 1), at: loop.Now()}
}

func (b *bucket) fill() {
	now := b.loop.Now()
	b.level = min(max(b.rate, 1), b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

// wait tells how long until n can be taken. More than the bucket holds is let
// through once it is full, and paid for afterwards.
func (b *bucket) wait(n float64) time.Duration {
	if n == 0 {
		return 0
	}
	b.fill()
	short := min(n, max(b.rate, 1)) - b.level
	if short <= 0 {
		return 0
	}
	return time.Duration(short/b.rate*float64(time.Second)) + time.Millisecond
}

func (b *bucket) take(n float64) { b.level -= n }

// setRate changes the rate from now on.
func (b *bucket) setRate(rate float64) {
	b.fill()
	b.rate = rate
	b.level = min(b.level, max(rate, 1))
}

// rateMeter measures how often something happens, over the last seconds.
type rateMeter struct {
	sum float64
	at  core.Time
}

const meterTime = 3 * time.Second

func (m *rateMeter) rate(now core.Time) float64 {
	m.sum *= math.Exp(-now.Sub(m.at).Seconds() / meterTime.Seconds())
	m.at = now
	return m.sum / meterTime.Seconds()
}

func (m *rateMeter) add(now core.Time, n float64) {
	m.rate(now)
	m.sum += n
}
