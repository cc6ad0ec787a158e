package ctid

// Release is the number that an operator gave a whole configuration. The
// accepted one with the highest number is in force.
type Release uint64
