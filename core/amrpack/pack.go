// Package amrpack writes values as compressed JSON for the object store.
package amrpack

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// Marshal returns the compressed JSON of the value.
func Marshal(value any) ([]byte, error) {
	var b bytes.Buffer
	zip := gzip.NewWriter(&b)
	if err := json.NewEncoder(zip).Encode(value); err != nil {
		return nil, err
	}
	err := zip.Close()
	return b.Bytes(), err
}

// Unmarshal reads into value what Marshal wrote. It returns an error when data
// is cut short.
func Unmarshal(data []byte, value any) error {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(zip)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, value)
}
