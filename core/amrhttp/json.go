package amrhttp

import (
	"encoding/json"
	"fmt"
	"io"
)

// DecodeJSON reads the body of a response to its end and decodes it into v. It returns an error
// if the body breaks off, also after a whole JSON value, is longer than the given number of bytes
// or is not one JSON value.
func DecodeJSON(body io.Reader, maxBytes int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > maxBytes {
		return fmt.Errorf("the response is longer than %d bytes", maxBytes)
	}
	return json.Unmarshal(data, v)
}
