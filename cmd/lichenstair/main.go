// Command lichenstair is the cluster scheduler's daemon and, in time, its
// operators' toolbox.
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

	"github.com/spf13/cobra"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/frontend"
	"lichenstair/internal/httpcall"
	"lichenstair/internal/node"
	"lichenstair/internal/peer"
)

const version = "0.2.0"

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
			return nil, fmt.Errorf("--config: missing; it names the platform's settings file")
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
		Short:         "A cluster scheduler: one of its controllers",
		Long:          "lichenstair schedules jobs on rented machines. Without a subcommand it serves\nas one of the controllers. LOG_LEVEL is error, info or debug.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serveRun,
	}
	root.PersistentFlags().StringVar(&configPath, "config", "", "the platform's settings `FILE` (TOML)")
	root.PersistentFlags().StringVar(&settingsPath, "settings", "", "the operators' own settings `FILE` (protobuf text format)")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve as one of the controllers", Args: cobra.NoArgs, RunE: serveRun},
		&cobra.Command{Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "settings are in order")
			return nil
		}},
	)
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func level() (slog.Level, error) {
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
	lv, err := level()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lv})).With("host", cfg.Host)
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
	if least := config.MinSockets(len(cfg.Peers)); cfg.Limits.Sockets < least {
		log.Warn("fd_limit is too small: connections will fail, and workers go to other controllers", "fd_limit", cfg.Limits.Sockets, "least", least)
	}
	loop := core.NewEventLoop(conns)
	call := httpcall.New(loop, calls, cfg.State, cfg.Cloud)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var n *node.Node
	lines := peer.NewTransport(cfg.Peers, func(frame []byte) { loop.Post(func() { n.HandleFrame(frame) }) }, log)
	n = node.New(cfg, loop, call, lines.Broadcast, log, rnd)
	server := frontend.New(loop, n, log, conns)
	log.Info("serving", "bind", cfg.Bind, "version", version, "connections", conns, "calls", calls, "memory_mb", cfg.Limits.MemoryBytes>>20)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	go func() { failed <- lines.Serve(peers) }()
	loop.Post(n.Start)
	go func() {
		err := <-failed
		log.Error("a listener ended", "error", err)
		loop.Stop()
	}()
	loop.Run()
	return errors.New("a listener ended")
}
