// Package metrics holds a controller's metrics and encodes them in the Prometheus text format.
package metrics

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// ContentType is the media type of the output of Text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const namespace = "lichenstair"

// Metrics holds the metrics of one controller. Its methods may be called from any goroutine.
type Metrics struct {
	registry *prometheus.Registry

	// WorkerMessages counts worker messages by source (report, answer) and result.
	WorkerMessages *prometheus.CounterVec
	// Discovered counts attempts that a block holder first learnt of from a worker message, by
	// source.
	Discovered *prometheus.CounterVec
	// Duplicates counts attempts learnt of while another attempt of the task was already recorded.
	Duplicates prometheus.Counter
	// Starts counts start commands sent to workers.
	Starts prometheus.Counter
	// Stops counts attempts that were told to stop, by reason.
	Stops *prometheus.CounterVec
	// Releases counts attempts proven to be off their machines, by reason.
	Releases *prometheus.CounterVec

	// LeaderTerm is the term under which the controller leads, 0 if it does not.
	LeaderTerm prometheus.Gauge
	// BlockTerm is the term under which the controller holds a block, by block.
	BlockTerm *prometheus.GaugeVec
	// StateRevision is the revision of the state service that the controller has read.
	StateRevision prometheus.Gauge
	// ProofAge is the time, in seconds, since the mirror was last confirmed fresh.
	ProofAge prometheus.Gauge
}

// New returns a set of metrics, all zero.
func New() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		WorkerMessages: counters("worker_messages_total", "Messages of workers, by source and result.", "source", "result"),
		Discovered:     counters("attempts_learnt_total", "Attempts that a holder learnt of from a message, by source.", "source"),
		Duplicates:     counter("attempts_duplicate_total", "Attempts learnt of while another one of the task was booked."),
		Starts:         counter("starts_total", "Start commands sent to workers."),
		Stops:          counters("stops_total", "Attempts that were told to stop, by reason.", "reason"),
		Releases:       counters("releases_total", "Attempts proven to be off their machines, by reason.", "reason"),

		LeaderTerm:    gauge("leader_term", "Term under which the controller leads; 0: it does not."),
		BlockTerm:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "block_term", Help: "Term under which the controller holds a block."}, []string{"block"}),
		StateRevision: gauge("state_revision", "Revision of the state service that the controller has read."),
		ProofAge:      gauge("state_proof_age_seconds", "How long ago what was read was last proven complete."),
	}
	m.registry.MustRegister(m.WorkerMessages, m.Discovered, m.Duplicates, m.Starts, m.Stops, m.Releases, m.LeaderTerm, m.BlockTerm, m.StateRevision, m.ProofAge)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Text returns all metrics in the Prometheus text format.
func (m *Metrics) Text() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	encoder := expfmt.NewEncoder(&out, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}
