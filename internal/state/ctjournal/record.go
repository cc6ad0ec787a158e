package ctjournal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

// headerBytes is the size of a record's header: the length of its body and the
// body's checksum, four bytes each.
const headerBytes = 8

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// encode returns writes as one record. After the header, there is for each write the
// key, a byte that is 1 if there is a value and else 0, and the value.
func encode(writes []ctstore.Write) []byte {
	record := make([]byte, headerBytes)
	for _, w := range writes {
		record = appendBytes(record, w.Key)
		if w.Value == nil {
			record = append(record, 0)
			continue
		}
		record = append(record, 1)
		record = appendBytes(record, w.Value)
	}
	body := record[headerBytes:]
	binary.BigEndian.PutUint32(record, uint32(len(body)))
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(body, crcTable))
	return record
}

// appendBytes appends the length of data and data to a record.
func appendBytes(record, data []byte) []byte {
	record = binary.AppendUvarint(record, uint64(len(data)))
	return append(record, data...)
}

// decode returns the writes of the record at the start of data, and the record's
// size. The size is 0 if there is no whole and undamaged record.
func decode(data []byte) ([]ctstore.Write, int) {
	if len(data) < headerBytes {
		return nil, 0
	}
	size := int(binary.BigEndian.Uint32(data))
	if size == 0 || size > len(data)-headerBytes {
		return nil, 0
	}
	body := data[headerBytes : headerBytes+size]
	if binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(body, crcTable) {
		return nil, 0
	}
	var writes []ctstore.Write
	for len(body) > 0 {
		var w ctstore.Write
		var ok bool
		if w, body, ok = decodeWrite(body); !ok {
			return nil, 0
		}
		writes = append(writes, w)
	}
	return writes, headerBytes + size
}

// decodeWrite decodes the write at the start of body and returns the rest of body.
func decodeWrite(body []byte) (w ctstore.Write, rest []byte, ok bool) {
	w.Key, rest, ok = cutBytes(body)
	if !ok || len(rest) == 0 {
		return w, nil, false
	}
	present := rest[0] == 1
	rest = rest[1:]
	if !present {
		return w, rest, true
	}
	w.Value, rest, ok = cutBytes(rest)
	return w, rest, ok
}

// cutBytes reads what appendBytes wrote at the start of body. The data aliases body.
func cutBytes(body []byte) (data, rest []byte, ok bool) {
	size, n := binary.Uvarint(body)
	if n <= 0 || size > uint64(len(body)-n) {
		return nil, nil, false
	}
	end := n + int(size)
	return body[n:end:end], body[end:], true
}
