// Package amrpack encodes and decodes values as JSON compressed with gzip, for
// storage in the object store.
package amrpack

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// Marshal returns the JSON encoding of value, compressed with gzip. It returns an
// error if value cannot be encoded as JSON.
func Marshal(value any) ([]byte, error) {
	var b bytes.Buffer
	compressor := gzip.NewWriter(&b)
	if err := json.NewEncoder(compressor).Encode(value); err != nil {
		return nil, err
	}
	err := compressor.Close()
	return b.Bytes(), err
}

// Unmarshal decodes data, which Marshal returned, into value, which must be a
// pointer. It returns an error if data is truncated or otherwise malformed.
func Unmarshal(data []byte, value any) error {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(decompressor)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, value)
}
