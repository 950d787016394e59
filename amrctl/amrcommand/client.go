package amrcommand

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	goahttp "goa.design/goa/v3/http"

	"amaranthreach.example/router/gen/http/operators/client"
	"amaranthreach.example/router/gen/operators"
)

const (
	changeAttempts = 3 // Of a change whose answer was lost.
	attemptPause   = 500 * time.Millisecond
)

// session is a connection to a router.
type session struct {
	*operators.Client
	key string
}

func (o *options) open(ctx context.Context) (context.Context, context.CancelFunc, *session, error) {
	server := o.server
	if server == "" {
		server = o.streams.Environ("AMRCTL_SERVER")
	}
	address, err := url.Parse(server)
	if err != nil || address.Host == "" {
		return nil, nil, nil, usageError{errors.New("no router is named; set --server or AMRCTL_SERVER to a URL such as http://10.0.0.1:8081")}
	}
	key, err := o.key()
	if err != nil {
		return nil, nil, nil, err
	}
	c := client.NewClient(address.Scheme, address.Host, &http.Client{}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	s := &session{
		Client: operators.NewClient(c.Apply(), c.Rollback(), c.Drain(), c.Suspects(), c.Lift(), c.Records(), c.History(), c.Verify(), c.Explain(), c.WhyNot(), c.Status()),
		key:    key,
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	return ctx, cancel, s, nil
}

// call connects to a router and lets f use the connection.
func (o *options) call(cmd *cobra.Command, f func(context.Context, *session) error) error {
	ctx, cancel, s, err := o.open(cmd.Context())
	if err != nil {
		return err
	}
	defer cancel()
	return f(ctx, s)
}

func (o *options) key() (string, error) {
	if o.keyFile == "" {
		if key := o.streams.Environ("AMRCTL_KEY"); key != "" {
			return key, nil
		}
		return "", usageError{errors.New("no key is given; set --key-file or AMRCTL_KEY")}
	}
	data, err := os.ReadFile(o.keyFile)
	if err != nil {
		return "", usageError{err}
	}
	return strings.TrimSpace(string(data)), nil
}

// amendment is what all changes of records share.
type amendment struct {
	operator string
	reason   string
	token    string
	base     uint64
	dryRun   bool
}

func (o *options) amend(a *amendment) error {
	a.operator = o.operator
	if a.operator == "" {
		a.operator = o.streams.Environ("USER")
	}
	if a.operator == "" {
		return usageError{errors.New("the change does not say who makes it; set --as")}
	}
	if a.reason == "" && !a.dryRun {
		return usageError{errors.New("the change gives no reason; set --reason")}
	}
	if a.reason == "" {
		a.reason = "dry run"
	}
	if a.token == "" {
		a.token = uuid.NewString()
	}
	return nil
}

// change calls apply until it knows the outcome. The token makes sure that the
// change is applied once.
func (o *options) change(ctx context.Context, a amendment, apply func(amendment) (*operators.Applied, error)) (*operators.Applied, error) {
	for attempt := 1; ; attempt++ {
		result, err := apply(a)
		if CodeOf(err) != CodeUnavailable {
			return result, err
		}
		if attempt == changeAttempts || pause(ctx) != nil {
			return nil, fmt.Errorf("%w\nwhether the change took effect is not known; run the command again with --token %s", err, a.token)
		}
	}
}

func pause(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, attemptPause, errPaused)
	defer cancel()
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), errPaused) {
		return nil
	}
	return ctx.Err()
}

var errPaused = errors.New("the pause is over")
