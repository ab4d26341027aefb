package config

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"lichenstair/internal/config/settingspb"
	"lichenstair/internal/core"
)

// Operator holds the operators' settings, with defaults for those that are not set.
type Operator struct {
	LeaseTTL    time.Duration // lifetime of a controller's lease in the state service
	Blocks      int           // number of blocks
	IdleTimeout time.Duration // how long an idle machine is kept before it is returned
	MemoryShare float64       // share of the memory limit that is the runtime's soft memory limit
	RetryAfter  time.Duration // Retry-After value of refusals
}

func parseOperator(text []byte, nodes int) (Operator, error) {
	var pb settingspb.Settings
	if err := prototext.Unmarshal(text, &pb); err != nil {
		return Operator{}, withFieldName(text, err)
	}
	// invalid returns the error for a field that is set, with its position in the text.
	invalid := func(field, problem string) error {
		position := regexp.MustCompile(`(?m)\b` + field + `\b`).FindIndex(text)
		line := 1 + bytes.Count(text[:position[0]], []byte("\n"))
		return fmt.Errorf("line %d:%d: %s: %s", line, position[0]-bytes.LastIndexByte(text[:position[0]], '\n'), field, problem)
	}
	o := Operator{LeaseTTL: 5 * time.Second, Blocks: nodes, IdleTimeout: 20 * time.Second, MemoryShare: 0.7, RetryAfter: time.Second}
	if pb.TenureS != nil {
		if !(*pb.TenureS >= 1 && *pb.TenureS <= 600) {
			return o, invalid("tenure_s", fmt.Sprintf("must be from 1 to 600, got %g", *pb.TenureS))
		}
		o.LeaseTTL = core.Seconds(*pb.TenureS)
	}
	if pb.Blocks != nil && *pb.Blocks > 0 {
		if *pb.Blocks > 1000 {
			return o, invalid("blocks", fmt.Sprintf("must be at most 1000, got %d", *pb.Blocks))
		}
		o.Blocks = int(*pb.Blocks)
	}
	if pb.IdleS != nil {
		if !(*pb.IdleS >= 0 && *pb.IdleS <= 86400) {
			return o, invalid("idle_s", fmt.Sprintf("must be from 0 to 86400, got %g", *pb.IdleS))
		}
		o.IdleTimeout = core.Seconds(*pb.IdleS)
	}
	if pb.MemoryShare != nil {
		if !(*pb.MemoryShare > 0 && *pb.MemoryShare <= 1) {
			return o, invalid("memory_share", fmt.Sprintf("must be above 0 and at most 1, got %g", *pb.MemoryShare))
		}
		o.MemoryShare = *pb.MemoryShare
	}
	if pb.RetryAfterS != nil {
		if !(*pb.RetryAfterS >= 1 && *pb.RetryAfterS <= 30) {
			return o, invalid("retry_after_s", fmt.Sprintf("must be from 1 to 30, got %g", *pb.RetryAfterS))
		}
		o.RetryAfter = core.Seconds(*pb.RetryAfterS)
	}
	return o, nil
}

var errorPosition = regexp.MustCompile(`\(line (\d+):(\d+)\)`)

// withFieldName adds to an error of the protobuf text parser the name of the field whose value
// caused it.
func withFieldName(text []byte, err error) error {
	match := errorPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return err
	}
	line, _ := strconv.Atoi(match[1])
	col, _ := strconv.Atoi(match[2])
	lines := strings.Split(string(text), "\n")
	if line < 1 || line > len(lines) {
		return err
	}
	before := lines[line-1][:min(max(col-1, 0), len(lines[line-1]))]
	fields := regexp.MustCompile(`[a-z_]+`).FindAllString(before, -1)
	if len(fields) == 0 {
		return err
	}
	return fmt.Errorf("%s: %w", fields[len(fields)-1], err)
}
