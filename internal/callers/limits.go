package callers

import "github.com/junctionfold/junctionfold/coord/intake"

// What callers may make a VM hold.
const (
	// ConnectionsPerMB bounds the open connections of callers by the memory of the VM. They take up to 32 kB
	// each, a quarter of the memory in all.
	ConnectionsPerMB = 8
	// memoryShare is the share of the memory for heads and bodies beyond freeBytes, and largeShare the part of it that
	// callers may fill which hold more than smallBytes.
	memoryShare = 1.0 / 8
	largeShare  = 0.75
	// freeBytes is the part of a connection's memory that a head and a body may take without counting.
	freeBytes  = 16 << 10
	smallBytes = 64 << 10
	// receiveBufferBytes is the size of the receive buffer of a connection, which the kernel doubles. Bytes that are
	// received and not read take memory of the VM as well. Smaller buffers stall senders for seconds.
	receiveBufferBytes = 32 << 10
)

// LimitsOf returns the limits of a VM that may have so many connections of callers.
func LimitsOf(memoryMB, connections int) intake.Limits {
	bytes := memoryShare * float64(memoryMB) * (1 << 20)
	return intake.Limits{
		Clients: connections, Bytes: int64(bytes), LargeBytes: int64(largeShare * bytes), Free: freeBytes, Small: smallBytes,
	}
}

// LargestBody returns the size in bytes of the largest body that a VM can read: while its buffer grows, it takes
// twice its size.
func LargestBody(memoryMB int) int64 {
	const whileGrowing = 2
	return LimitsOf(memoryMB, 0).LargeBytes / whileGrowing
}

// Limits of a listener for operators.
const (
	maxOperatorConnections = 64
	operatorBytes          = 1 << 20
)

// operatorLimits returns the limits of a listener for health checks, metrics or operators.
func operatorLimits() intake.Limits {
	return intake.Limits{Clients: maxOperatorConnections, Bytes: operatorBytes, LargeBytes: operatorBytes, Free: freeBytes, Small: smallBytes}
}
