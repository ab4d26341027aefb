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

func required[T any](k *checker, field string, v *T) (out T) {
	if v == nil {
		k.fail(field, "missing")
		return out
	}
	return *v
}

func (k *checker) text(field string, v *string) string {
	s := required(k, field, v)
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
	f := required(k, field, v)
	if !(f > 0) || f > 1e9 {
		k.fail(field, fmt.Sprintf("must be positive and at most 1e9, got %g", f))
	}
	return f
}

func (k *checker) seconds(field string, v *float64) time.Duration {
	return core.Seconds(k.positive(field, v))
}

func (k *checker) positiveInt(field string, v *int) int {
	n := required(k, field, v)
	if n < 1 {
		k.fail(field, fmt.Sprintf("must be at least 1, got %d", n))
	}
	return n
}

func (k *checker) nonNegative(field string, f float64) float64 {
	if !(f >= 0) || f > 1e9 {
		k.fail(field, fmt.Sprintf("must be from 0 to 1e9, got %g", f))
	}
	return f
}
