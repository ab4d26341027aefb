package frontend

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"lichenstair/internal/admission"
	"lichenstair/internal/metrics"
)

// requestOutcome is how a request ended.
type requestOutcome int

const (
	outcomeAnswered       requestOutcome = iota
	outcomeRefused                       // the node asked the caller to retry
	outcomeNotAdmitted                   // too many requests were in progress
	outcomeQueueFull                     // the event loop's queue was full
	outcomeExpiredInQueue                // its caller had given up before the event loop took it
	outcomeExpired                       // its caller gave up while the node worked on it
	outcomeOutdated                      // the response had become too old to be sent
	outcomeCount
)

func (o requestOutcome) String() string {
	return [...]string{"answered", "refused", "not admitted", "queue full", "expired in queue", "expired", "outdated"}[o]
}

// summaryInterval is the interval of the log lines about requests that were not answered.
const summaryInterval = 10 * time.Second

// requestStats counts requests by kind and outcome. It may be used from any goroutine.
type requestStats struct {
	metrics *metrics.Metrics
	counts  [admission.KindCount][outcomeCount]atomic.Int64 // since the last summary
}

func (s *requestStats) observe(kind admission.Kind, outcome requestOutcome, took time.Duration) {
	s.metrics.Requests.WithLabelValues(kind.String(), outcome.String()).Observe(took.Seconds())
	s.counts[kind][outcome].Add(1)
}

// summary returns the counts since the last summary of each kind of which a request was not
// answered, or an empty string if there is none.
func (s *requestStats) summary() string {
	var kinds []string
	for kind := range admission.KindCount {
		var parts []string
		unanswered := int64(0)
		for outcome := range outcomeCount {
			n := s.counts[kind][outcome].Swap(0)
			if n == 0 {
				continue
			}
			if outcome != outcomeAnswered {
				unanswered += n
			}
			parts = append(parts, fmt.Sprintf("%d %s", n, outcome))
		}
		if unanswered > 0 {
			kinds = append(kinds, fmt.Sprintf("%s: %s", kind, strings.Join(parts, ", ")))
		}
	}
	return strings.Join(kinds, "; ")
}
