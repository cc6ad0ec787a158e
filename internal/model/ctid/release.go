package ctid

// Release is the number that an operator assigns to a whole configuration. The
// accepted configuration with the highest release is in force.
type Release uint64
