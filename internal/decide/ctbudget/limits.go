package ctbudget

// Bytes is an amount of memory.
type Bytes int64

const (
	// BytesPerMB converts the unit of the settings.
	BytesPerMB = 1_000_000
	// clientMemoryDivisor divides the process's memory: the quotient is for what every client needs
	// whatever it sends, and clientBytes is that amount for one client: a stack and buffers.
	clientMemoryDivisor       = 8
	clientBytes         Bytes = 16 << 10
	// answerMemoryDivisor divides the process's memory: the quotient is for large answers that arrive
	// from members, and answerBytes what one with a row of 1 MiB takes.
	answerMemoryDivisor       = 16
	answerBytes         Bytes = 2 << 20
	// perClientDivisor divides the limit of all charges: one client may hold the quotient.
	perClientDivisor = 4
	// othersDivisor divides the limit of all charges: the other clients may always hold the quotient
	// together, however much one client holds.
	othersDivisor = 4
)

// Resources are what a process may use. 0 means no limit.
type Resources struct {
	MemoryMB    int
	Descriptors int
}

// Share says what clients of one kind may use of the resources.
type Share struct {
	// MemoryDivisor divides the memory of the process: all charges may add up to the result. The
	// garbage collector lets the heap grow to twice of what is in use, and the process needs some
	// memory itself.
	MemoryDivisor int
	// DescriptorDivisor divides the descriptors of the process.
	DescriptorDivisor int
	// Largest is the charge for the largest legal message. One client may hold it even where it exceeds
	// what all charges may add up to, if the others hold little.
	Largest Bytes
}

// Limits are the limits of a Ledger. 0 means no limit.
type Limits struct {
	// Total is the limit of all charges, and PerClient that of the charges of one client. If PerClient
	// is higher, all charges may add up to it and a fourth of Total.
	Total, PerClient Bytes
	// Clients is the limit of the number of clients.
	Clients int
}

// LimitsOf returns the limits for a share of resources.
func LimitsOf(resources Resources, share Share) Limits {
	var limits Limits
	if resources.MemoryMB > 0 && share.MemoryDivisor > 0 {
		memory := Bytes(resources.MemoryMB) * BytesPerMB
		limits.Total = memory / Bytes(share.MemoryDivisor)
		limits.PerClient = max(limits.Total/perClientDivisor, share.Largest)
		limits.Clients = max(1, int(memory/clientMemoryDivisor/clientBytes))
	}
	if resources.Descriptors > 0 && share.DescriptorDivisor > 0 {
		byDescriptors := max(1, resources.Descriptors/share.DescriptorDivisor)
		if limits.Clients == 0 || byDescriptors < limits.Clients {
			limits.Clients = byDescriptors
		}
	}
	return limits
}

// LargeAnswers returns how many large answers may arrive from members at once; 0 for no limit.
func LargeAnswers(resources Resources) int {
	if resources.MemoryMB == 0 {
		return 0
	}
	return max(1, int(Bytes(resources.MemoryMB)*BytesPerMB/answerMemoryDivisor/answerBytes))
}
