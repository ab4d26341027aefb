// Command lichenstair is the daemon of the cluster scheduler. Its check subcommand validates the
// settings.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/frontend"
	"lichenstair/internal/httpcall"
	"lichenstair/internal/node"
	"lichenstair/internal/peer"
)

const version = "0.2.0"

// slowCallback is the duration of a callback of the event loop that is worth a log line: questions
// wait for 1.9 s.
const slowCallback = time.Second

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lichenstair:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var configPath, settingsPath string
	load := func() (*config.Config, error) {
		if configPath == "" {
			return nil, fmt.Errorf("--config: missing; it must name the platform's settings file")
		}
		return config.Load(configPath, settingsPath)
	}
	serveRun := func(*cobra.Command, []string) error {
		cfg, err := load()
		if err != nil {
			return err
		}
		return serve(cfg)
	}
	root := &cobra.Command{
		Use:           "lichenstair",
		Short:         "Controller of the lichenstair cluster scheduler",
		Long:          "lichenstair schedules jobs on rented machines. Without a subcommand it runs\na controller. LOG_LEVEL is error, info or debug.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serveRun,
	}
	root.PersistentFlags().StringVar(&configPath, "config", "", "the platform's settings `FILE` (TOML)")
	root.PersistentFlags().StringVar(&settingsPath, "settings", "", "the operators' settings `FILE` (protobuf text format)")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run a controller", Args: cobra.NoArgs, RunE: serveRun},
		&cobra.Command{Use: "check", Short: "Validate the settings and exit", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "settings are valid")
			return nil
		}},
	)
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func logLevel() (slog.Level, error) {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", os.Getenv("LOG_LEVEL"))
}

func serve(cfg *config.Config) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("host", cfg.Host)
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryBytes) * cfg.Operator.MemoryShare))
	ln, err := net.Listen("tcp4", cfg.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	peers, err := net.Listen("tcp4", cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	conns, calls := cfg.Limits.ConnectionLimits(len(cfg.Peers))
	if minimum := config.MinSockets(len(cfg.Peers)); cfg.Limits.Sockets < minimum {
		log.Warn("fd_limit is below the minimum: connections will be refused and workers will move to other controllers", "fd_limit", cfg.Limits.Sockets, "least", minimum)
	}
	loop := core.NewEventLoop(conns)
	call := httpcall.New(loop, calls, cfg.State, cfg.Cloud)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var n *node.Node
	transport := peer.NewTransport(cfg.Peers, func(frame []byte) { loop.Post(func() { n.HandleFrame(frame) }) }, log)
	n = node.New(cfg, loop, call, transport.Broadcast, log, rnd)
	loop.OnExecuted = func(queue string, waited, took time.Duration, left int) {
		n.Metrics().ObserveLoopCallback(queue, waited, took, left)
		if took > slowCallback {
			log.Warn("event loop stood still during a callback, or the process was paused", "queue", queue, "took", took.String(), "left", left)
		}
	}
	server := frontend.New(loop, n, log, conns)
	log.Info("serving", "bind", cfg.Bind, "version", version, "connections", conns, "calls", calls, "memory_mb", cfg.Limits.MemoryBytes>>20)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	go func() { failed <- transport.Serve(peers) }()
	loop.Post(n.Start)
	go func() {
		err := <-failed
		log.Error("listener failed", "error", err)
		loop.Stop()
	}()
	loop.Run()
	return errors.New("listener failed")
}
