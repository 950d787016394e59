package amrhttp

import "fmt"

// The valid status codes of responses, by RFC 9110, section 15.
const (
	minStatus      = 100
	minFinalStatus = 200 // Responses below it are interim ones.
	maxStatus      = 599
)

// checkStatus returns an error unless the status is a valid one.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("the response has the status %03d, which is invalid", status)
	}
	return nil
}
