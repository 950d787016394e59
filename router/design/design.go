// Package design defines the HTTP APIs of the router, one for callers and one for
// operators, in the goa DSL. The code in router/gen is generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa DSL is meant to be dot-imported.
)

//go:generate goa gen amaranthreach.example/router/design -o ..

var _ = API("router", func() {
	Title("Router for language-model traffic")
	Description("Answers each request at most once and completely, or refuses it with the reason.")
	HTTP(func() {
		Consumes("application/json")
		Produces("application/json")
	})
})

// bearer is the security scheme of both APIs: the API key of a team, sent as a
// bearer token.
var bearer = APIKeySecurity("bearer", func() {
	Description("API key of a team, sent as a bearer token.")
})

// refusalBody holds the fields of the error object in the response body of a refused
// request.
var refusalBody = Type("RefusalBody", func() {
	Attribute("message", String, "Description of the reason, in one sentence.")
	Attribute("type", String, "Name of the error that corresponds to the HTTP status.")
	Attribute("code", String, "Reason code.")
	Attribute("ran", String, "Whether the request ran.", func() {
		Enum("not-run", "ran", "unknown")
	})
	Attribute("remedy", String, "What the caller or an operator can do.")
	Attribute("detail", String, "Field, limit or object that caused the refusal.")
	Attribute("request_id", String, "ID of the request, for explain.")
	Required("message", "type", "code", "ran", "remedy", "request_id")
})

// refusal is the error type of all methods of the callers' API.
var refusal = Type("Refusal", func() {
	ErrorName("name", String, "Name of the error.")
	Attribute("refusal", refusalBody)
	Attribute("request_id", String, "ID of the request.")
	Attribute("retry_after", Int, "Seconds after which the caller may retry.")
	Required("name", "refusal", "request_id")
})

// errorStatus is the name of an error and its HTTP status.
type errorStatus struct {
	name   string
	status int
}

// statuses lists the errors of the callers' API. amrrouter selects one of them by
// the HTTP status of the reason of a refusal.
var statuses = []errorStatus{
	{"bad_request", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"too_large", StatusRequestEntityTooLarge},
	{"unprocessable", StatusUnprocessableEntity},
	{"too_many_requests", StatusTooManyRequests},
	{"client_closed", 499},
	{"internal", StatusInternalServerError},
	{"bad_gateway", StatusBadGateway},
	{"service_unavailable", StatusServiceUnavailable},
	{"gateway_timeout", StatusGatewayTimeout},
}

// refusals declares the errors of the callers' API for a service.
func refusals() {
	for _, s := range statuses {
		Error(s.name, refusal)
	}
}

// refusalResponses declares the HTTP responses for the errors of the callers' API.
func refusalResponses() {
	for _, s := range statuses {
		Response(s.name, s.status, func() {
			Header("request_id:X-Request-Id")
			Header("retry_after:Retry-After")
		})
	}
}

// callHeaders declares the attributes of a payload that are sent as HTTP headers.
func callHeaders() {
	APIKey("bearer", "key", String, "API key of the team.")
	Attribute("idempotency_key", String, "Identifies a non-idempotent request, so that it runs at most once. Required if the request is not idempotent.", func() {
		MaxLength(256)
	})
	Attribute("timeout", String, "Time limit for the complete response, such as 30s. It cannot extend the limit of the routing policy.")
	Attribute("traffic_priority", Int, "Added to the team's priority; requests with a lower sum run first.", func() {
		Minimum(0)
		Maximum(9)
	})
}

// callHTTPHeaders maps the attributes of callHeaders to HTTP headers.
func callHTTPHeaders() {
	Header("key:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("timeout:Request-Timeout")
	Header("traffic_priority:Request-Priority")
}

// answer is the result of all methods of the callers' API. The response body is
// written by amrrouter, because it may be streamed.
var answer = Type("Answer", func() {
	Attribute("request_id", String)
	Attribute("content_type", String)
	Required("request_id", "content_type")
})

// answerResponse declares the HTTP response for an answer.
func answerResponse() {
	Response(StatusOK, func() {
		Header("request_id:X-Request-Id")
		Header("content_type:Content-Type")
	})
}

// message is a message of a chat completion request.
var message = Type("Message", func() {
	Attribute("role", String, func() { MaxLength(64) })
	Attribute("content", String)
	Required("role", "content")
})

// completionAttributes declares the attributes that chat completions and
// completions share.
func completionAttributes() {
	Attribute("model", String, "Name of a deployment.", func() { MaxLength(128) })
	Attribute("stream", Boolean, func() { Default(false) })
	Attribute("max_tokens", Int, func() {
		Minimum(1)
		Maximum(65536)
		Default(256)
	})
	Attribute("idempotent", Boolean, "False for a request that must run at most once.", func() { Default(true) })
}

var _ = Service("callers", func() {
	Description("Runs the requests of callers on backend servers.")
	Security(bearer)
	refusals()

	Method("chat", func() {
		Payload(func() {
			callHeaders()
			completionAttributes()
			Attribute("messages", ArrayOf(message), func() { MinLength(1) })
			Required("model", "messages")
		})
		Result(answer)
		HTTP(func() {
			POST("/v1/chat/completions")
			callHTTPHeaders()
			SkipResponseBodyEncodeDecode()
			answerResponse()
			refusalResponses()
		})
	})

	Method("complete", func() {
		Payload(func() {
			callHeaders()
			completionAttributes()
			Attribute("prompt", String)
			Required("model", "prompt")
		})
		Result(answer)
		HTTP(func() {
			POST("/v1/completions")
			callHTTPHeaders()
			SkipResponseBodyEncodeDecode()
			answerResponse()
			refusalResponses()
		})
	})

	Method("call", func() {
		Description("Forwards a call to a deployment of type service and returns its response unchanged.")
		Payload(func() {
			callHeaders()
			Attribute("deployment", String)
			Attribute("path", String)
			Attribute("content_type", String)
			Required("deployment", "path")
		})
		Result(answer)
		HTTP(func() {
			POST("/v1/services/{deployment}/{*path}")
			callHTTPHeaders()
			Header("content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			answerResponse()
			refusalResponses()
		})
	})
})
