package ctaccount

import (
	"runtime/debug"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
)

// heapNumerator and heapDenominator are the fraction of the process's memory that is the soft limit
// of the Go runtime. The rest is for the program's text and what the kernel counts.
const (
	heapNumerator   = 7
	heapDenominator = 10
)

// LimitHeap sets the soft memory limit of the Go runtime to a part of the process's memory. It does
// nothing if that is not limited.
func LimitHeap(resources ctbudget.Resources) {
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(resources.MemoryMB) * ctbudget.BytesPerMB * heapNumerator / heapDenominator)
	}
}
