package amrcommand

import (
	"errors"
	"fmt"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// The exit codes.
const (
	CodeOK          = 0
	CodeFailed      = 1
	CodeUsage       = 2
	CodeInvalid     = 3
	CodeConflict    = 4
	CodeNotFound    = 5
	CodeUnavailable = 6
	CodeKey         = 7
	CodeTampered    = 8
)

const exitCodes = `Exit codes:
  0  done
  1  failed in a way that no other code says
  2  wrong arguments or flags
  3  a record or value is not valid; nothing was written
  4  somebody else changed the same records meanwhile; nothing was written
  5  there is no such record, revision or request
  6  no router, or not the platform behind it, answered in time; a change may
     be in force: run the command again with the --token that was printed
  7  the key was refused
  8  the audit trail has a gap or was edited`

// usageError is a mistake in arguments or flags.
type usageError struct {
	error
}

// CodeOf returns the exit code for the error of a command.
func CodeOf(err error) int {
	var usage usageError
	var service *goa.ServiceError
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &usage):
		return CodeUsage
	case errors.As(err, &service):
		return codeOfName(service.Name)
	case isUnanswered(err):
		return CodeUnavailable
	default:
		return CodeFailed
	}
}

func codeOfName(name string) int {
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
		return CodeKey
	case "tampered":
		return CodeTampered
	default:
		return CodeFailed
	}
}

// isUnanswered reports whether no answer came.
func isUnanswered(err error) bool {
	var client *goahttp.ClientError
	return errors.As(err, &client) && client.Name == "request_error"
}

// messageOf returns the message of an error without the names of libraries.
func messageOf(err error) string {
	var service *goa.ServiceError
	if errors.As(err, &service) {
		return service.Message
	}
	if isUnanswered(err) {
		return fmt.Sprintf("%s; check --server and that the router runs", err)
	}
	return err.Error()
}
