package amrcommand

import (
	"errors"
	"fmt"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// Exit codes of the command line. The text of exitCodes describes them.
const (
	CodeOK           = 0
	CodeFailed       = 1
	CodeUsage        = 2
	CodeInvalid      = 3
	CodeConflict     = 4
	CodeNotFound     = 5
	CodeUnavailable  = 6
	CodeUnauthorized = 7
	CodeTampered     = 8
)

// exitCodes describes the exit codes in the help text.
const exitCodes = `Exit codes:
  0  done
  1  failed for a reason that no other code describes
  2  wrong arguments or flags
  3  a record or value is not valid; nothing was written
  4  somebody else changed the same records meanwhile; nothing was written
  5  there is no such record, revision or request
  6  the router or the platform behind it did not answer in time; a change may
     have taken effect: run the command again with the --token and --base that were printed
  7  the key was refused
  8  the audit trail has a missing or edited entry`

// usageError is an error in arguments or flags.
type usageError struct {
	error
}

// ExitCode returns the exit code for the error of a command, which is nil if the
// command succeeded.
func ExitCode(err error) int {
	var usage usageError
	var service *goa.ServiceError
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &usage):
		return CodeUsage
	case errors.As(err, &service):
		return codeOfServiceError(service.Name)
	case isUnanswered(err):
		return CodeUnavailable
	default:
		return CodeFailed
	}
}

// codeOfServiceError returns the exit code for the name of an error that a router
// returned.
func codeOfServiceError(name string) int {
	switch name {
	case "bad_request", goa.InvalidLength, goa.InvalidRange, goa.InvalidFormat, goa.MissingField:
		return CodeInvalid
	case "conflict":
		return CodeConflict
	case "not_found":
		return CodeNotFound
	case "unavailable":
		return CodeUnavailable
	case "unauthorized", "forbidden":
		return CodeUnauthorized
	case "tampered":
		return CodeTampered
	default:
		return CodeFailed
	}
}

// isUnanswered reports whether the request got no answer, because the router could
// not be reached or did not answer in time.
func isUnanswered(err error) bool {
	var client *goahttp.ClientError
	var unanswered unansweredError
	return errors.As(err, &unanswered) || errors.As(err, &client) && client.Name == "request_error"
}

// messageOf returns the error's message for the operator. It leaves out the prefix
// that the RPC library adds to errors returned by a router.
func messageOf(err error) string {
	var service *goa.ServiceError
	if errors.As(err, &service) {
		return service.Message
	}
	if isUnanswered(err) {
		return fmt.Sprintf("%s; check --server and whether the router is running", err)
	}
	return err.Error()
}
