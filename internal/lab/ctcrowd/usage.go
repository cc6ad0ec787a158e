package ctcrowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Megabytes is an amount of memory in units of a million bytes, as in the settings.
type Megabytes int

// Usage is what a process uses.
type Usage struct {
	// PeakMemory is the most memory that was resident at any time.
	PeakMemory Megabytes
	// Descriptors is the number of open descriptors now.
	Descriptors int
}

// readUsage returns the usage of the process with an id.
func readUsage(id int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the memory of a process")
	}
	var usage Usage
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kibibytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				return Usage{}, errors.Wrap(err, "decode the memory of a process")
			}
			const mega = 1_000_000
			usage.PeakMemory = Megabytes((kibibytes<<10 + mega - 1) / mega)
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", id))
	if err != nil {
		return Usage{}, errors.Wrap(err, "count the descriptors of a process")
	}
	usage.Descriptors = len(descriptors)
	return usage, nil
}
