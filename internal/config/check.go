package config

import (
	"fmt"
	"net"
	"time"

	"lichenstair/internal/core"
)

type checker struct{ err error }

func (k *checker) fail(field, problem string) {
	if k.err == nil {
		k.err = fmt.Errorf("%s: %s", field, problem)
	}
}

func need[T any](k *checker, field string, v *T) (out T) {
	if v == nil {
		k.fail(field, "missing")
		return out
	}
	return *v
}

func (k *checker) text(field string, v *string) string {
	s := need(k, field, v)
	if s == "" {
		k.fail(field, "empty")
	}
	return s
}

func (k *checker) addr(field string, v *string) string {
	s := k.text(field, v)
	if _, _, err := net.SplitHostPort(s); err != nil {
		k.fail(field, fmt.Sprintf("%q is not host:port", s))
	}
	return s
}

func (k *checker) positive(field string, v *float64) float64 {
	f := need(k, field, v)
	if !(f > 0) || f > 1e9 {
		k.fail(field, "must be positive")
	}
	return f
}

func (k *checker) seconds(field string, v *float64) time.Duration {
	return core.Seconds(k.positive(field, v))
}

func (k *checker) whole(field string, v *int) int {
	n := need(k, field, v)
	if n < 1 {
		k.fail(field, "must be at least 1")
	}
	return n
}

func (k *checker) atLeastZero(field string, f float64) float64 {
	if !(f >= 0) || f > 1e9 {
		k.fail(field, "must not be negative")
	}
	return f
}
