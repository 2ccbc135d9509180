package mesh

// Sizes on the wire in bytes. They are upper bounds of what package peer
// encodes, because the core must account for bytes without the codec.
const (
	// headerBytes is IPv4, UDP, first byte, key identifier, MAC, sender and kind.
	headerBytes  = 20 + 8 + 11 + 18
	versionBytes = 18
	digestBytes  = 29
	beatBytes    = 27
	rumourBytes  = 28
	partBytes    = 4 + 2*versionBytes + 16
)

func nodeBytes(n Node) int {
	return 26 + len(n.Zone)
}

func (s Status) bytes() int {
	n := 4 + nodeBytes(s.Self) + digestBytes
	for _, v := range s.Sample {
		n += nodeBytes(v)
	}

	return n + beatBytes*len(s.Beats) + rumourBytes*len(s.Rumours)
}

func sizeOfParts(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.bytes()
	}

	return n
}

func (p Part) bytes() int {
	return partBytes + versionBytes*len(p.Items)
}

// Bytes returns the length of the message with all headers.
func (m Digest) Bytes() int { return headerBytes + 9 + m.Status.bytes() }

// Bytes returns the length of the message with all headers.
func (m DigestAck) Bytes() int {
	return headerBytes + 9 + m.Status.bytes() + sizeOfParts(m.Parts)
}

// Bytes returns the length of the message with all headers.
func (m Summary) Bytes() int { return headerBytes + sizeOfParts(m.Parts) }

// Bytes returns the length of the message with all headers.
func (m Fetch) Bytes() int { return headerBytes + versionBytes*len(m.Versions) }

// Bytes returns the length of the message with all headers.
func (m Announce) Bytes() int { return headerBytes + versionBytes + 6 }

// Bytes returns the length of the message with all headers.
func (m Body) Bytes() int { return headerBytes + versionBytes + 4 + len(m.Data) }

// Bytes returns the length of the message with all headers.
func (m ChunkRequest) Bytes() int { return headerBytes + versionBytes + 3 }

// Bytes returns the length of the message with all headers.
func (m Chunk) Bytes() int { return headerBytes + versionBytes + 11 + len(m.Data) }

// Bytes returns the length of the message with all headers.
func (m ChunkRefused) Bytes() int { return headerBytes + versionBytes + 5 }

// Bytes returns the length of the message with all headers.
func (m Rumours) Bytes() int { return headerBytes + rumourBytes*len(m.Items) }
