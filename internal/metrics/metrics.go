// Package metrics holds a controller's metrics and encodes them in the Prometheus text format.
package metrics

import (
	"bytes"
	"log/slog"
	"time"

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
	// StartProofAges measures, in seconds, how long before each start command the mirror was last
	// confirmed fresh.
	StartProofAges prometheus.Histogram
	// Stops counts attempts that were told to stop, by reason.
	Stops *prometheus.CounterVec
	// Releases counts attempts proven to be off their machines, by reason.
	Releases *prometheus.CounterVec

	// Violations counts violations of the controller's own invariants, by invariant.
	Violations *prometheus.CounterVec

	// LeaderTerm is the term under which the controller leads, 0 if it does not.
	LeaderTerm prometheus.Gauge
	// BlockTerm is the term under which the controller holds a block, by block.
	BlockTerm *prometheus.GaugeVec
	// StateRevision is the revision of the state service that the controller has read.
	StateRevision prometheus.Gauge
	// ProofAge is the time, in seconds, since the mirror was last confirmed fresh.
	ProofAge prometheus.Gauge
	// DependencyLinks is the number of links between unfinished jobs and their unfinished dependencies.
	DependencyLinks prometheus.Gauge

	// Requests measures, in seconds, how long requests took, by kind (poll, submission,
	// cancellation, health, report) and outcome.
	Requests *prometheus.HistogramVec
	// LoopWaits measures, in seconds, how long callbacks waited for the event loop, by queue.
	LoopWaits *prometheus.HistogramVec
	// LoopCallbacks measures, in seconds, how long callbacks held the event loop, by queue.
	LoopCallbacks *prometheus.HistogramVec
	// QueueDepth is the number of entries of a queue of the event loop or the state client.
	QueueDepth *prometheus.GaugeVec
	// StateWaits measures, in seconds, how long requests to the state service waited for the rate
	// limits, by class.
	StateWaits *prometheus.HistogramVec
	// ConfirmationStages measures, in seconds, the stages of a confirmation of freshness: queued, in
	// flight, catching up.
	ConfirmationStages *prometheus.HistogramVec
	// Confirmations counts confirmations of freshness by result.
	Confirmations *prometheus.CounterVec
	// CancellationWaits measures, in seconds, how long users waited, once a cancellation was durable,
	// until no task of the job could be started any more, by what excluded it.
	CancellationWaits *prometheus.HistogramVec
	// Watches counts responses to watches by result.
	Watches *prometheus.CounterVec
	// Passes measures, in seconds, the scheduling passes, during which the event loop stands still.
	Passes prometheus.Histogram
	// Reloads measures, in seconds, how long it took to read all keys, by result.
	Reloads *prometheus.HistogramVec
}

// secondsBuckets are the histogram buckets of durations that matter to a caller who waits for
// seconds.
var secondsBuckets = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 1.9, 2.5, 5, 10, 30}

// New returns a set of metrics, all zero.
func New() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		WorkerMessages: counters("worker_messages_total", "Messages of workers, by source and result.", "source", "result"),
		Discovered:     counters("attempts_learnt_total", "Attempts that a holder learnt of from a message, by source.", "source"),
		Duplicates:     counter("attempts_duplicate_total", "Attempts learnt of while another one of the task was booked."),
		Starts:         counter("starts_total", "Start commands sent to workers."),
		StartProofAges: histogram("start_proof_age_seconds", "How long before a start command what was read was last proven complete."),
		Stops:          counters("stops_total", "Attempts that were told to stop, by reason.", "reason"),
		Releases:       counters("releases_total", "Attempts proven to be off their machines, by reason.", "reason"),

		Violations:      counters("invariant_violations_total", "Violations of the controller's own invariants, by invariant.", "invariant"),
		LeaderTerm:      gauge("leader_term", "Term under which the controller leads; 0: it does not."),
		BlockTerm:       prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "block_term", Help: "Term under which the controller holds a block."}, []string{"block"}),
		StateRevision:   gauge("state_revision", "Revision of the state service that the controller has read."),
		ProofAge:        gauge("state_proof_age_seconds", "How long ago what was read was last proven complete."),
		DependencyLinks: gauge("dependency_links", "Links between unfinished jobs and their unfinished dependencies."),

		Requests:           histograms("request_seconds", "Requests of users, workers and health checks, by kind and outcome.", "kind", "outcome"),
		LoopWaits:          histograms("loop_wait_seconds", "Time that callbacks waited for the event loop, by queue.", "queue"),
		LoopCallbacks:      histograms("loop_callback_seconds", "Time that callbacks held the event loop, by queue.", "queue"),
		QueueDepth:         prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "queue_depth", Help: "Entries of a queue."}, []string{"queue"}),
		StateWaits:         histograms("state_wait_seconds", "Time that requests to the state service waited for the rate limits, by class.", "class"),
		ConfirmationStages: histograms("state_confirmation_seconds", "Stages of a proof that what was read is complete.", "stage"),
		Confirmations:      counters("state_confirmations_total", "Proofs that what was read is complete, by result.", "result"),
		CancellationWaits:  histograms("cancellation_wait_seconds", "Time that users waited until no task of a cancelled job could be started any more, by reason.", "reason"),
		Watches:            counters("state_watches_total", "Responses to watches, by result.", "result"),
		Passes:             histogram("pass_seconds", "Duration of scheduling passes."),
		Reloads:            histograms("state_reload_seconds", "Time to read all keys, by result.", "result"),
	}
	m.registry.MustRegister(m.WorkerMessages, m.Discovered, m.Duplicates, m.Starts, m.StartProofAges, m.Stops, m.Releases, m.Violations, m.LeaderTerm, m.BlockTerm, m.StateRevision, m.ProofAge, m.DependencyLinks,
		m.Requests, m.LoopWaits, m.LoopCallbacks, m.QueueDepth, m.StateWaits, m.ConfirmationStages, m.Confirmations, m.CancellationWaits, m.Watches, m.Reloads, m.Passes)
	return m
}

// ObserveLoopCallback records that a callback of the event loop has ended.
func (m *Metrics) ObserveLoopCallback(queue string, waited, took time.Duration, left int) {
	m.LoopWaits.WithLabelValues(queue).Observe(waited.Seconds())
	m.LoopCallbacks.WithLabelValues(queue).Observe(took.Seconds())
	m.QueueDepth.WithLabelValues(queue).Set(float64(left))
}

// Violated logs and counts a violation of an invariant.
func (m *Metrics) Violated(log *slog.Logger, invariant string, args ...any) {
	m.Violations.WithLabelValues(invariant).Inc()
	log.Error(invariant, args...)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets})
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets}, labels)
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
