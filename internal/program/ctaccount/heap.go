package ctaccount

import (
	"runtime/debug"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
)

// heapNumerator and heapDenominator are the part of the process's memory at which the garbage collector
// works harder. The rest is for the program's text and what the kernel counts.
const (
	heapNumerator   = 7
	heapDenominator = 10
)

// LimitHeap makes the garbage collector keep the heap within the process's memory. Without a limit on
// that, it does nothing.
func LimitHeap(resources ctbudget.Resources) {
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(resources.MemoryMB) * ctbudget.BytesPerMB * heapNumerator / heapDenominator)
	}
}
