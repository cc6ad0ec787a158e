package ctexperiment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// ticksPerSecond is the number of clock ticks in a second. Linux shows processor times
// in these ticks.
const ticksPerSecond = 100

// residentMemory returns the resident memory of a process, in bytes.
func residentMemory(p *ctfleet.Process) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.Pid()) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of "+p.Name)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("the memory of " + p.Name + " can't be read")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "read the memory of "+p.Name)
}

// cpuTime returns the processor time that a process has used in user and system mode.
func cpuTime(p *ctfleet.Process) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.Pid()) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time of "+p.Name)
	}
	text := string(data)
	// The program's name in parentheses may contain spaces, so fields are counted after it.
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.New("the processor time of " + p.Name + " can't be read")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time of "+p.Name)
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time of "+p.Name)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
