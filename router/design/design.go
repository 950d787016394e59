// Package design describes the HTTP interfaces of the router for the goa
// generator: one for callers and one for operators.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The notation of goa.
)

//go:generate goa gen amaranthreach.example/router/design -o ..

var _ = API("router", func() {
	Title("Router for language-model traffic")
	Description("Answers each request once and whole, or refuses it with a true reason.")
	HTTP(func() {
		Consumes("application/json")
		Produces("application/json")
	})
})

// bearer is the key of a team.
var bearer = APIKeySecurity("bearer", func() {
	Description("The key of a team, as a bearer token.")
})

// refusalBody is the body of each refusal.
var refusalBody = Type("RefusalBody", func() {
	Attribute("message", String, "What happened, in plain words.")
	Attribute("type", String, "Kind of the refusal, from its HTTP status.")
	Attribute("code", String, "Reason code.")
	Attribute("ran", String, "Whether the request ran.", func() {
		Enum("not-run", "ran", "unknown")
	})
	Attribute("remedy", String, "What the caller can do.")
	Attribute("detail", String, "The field or limit in question.")
	Attribute("request_id", String, "Identity of the request, for explain.")
	Required("message", "type", "code", "ran", "remedy", "request_id")
})

// refusal is the error type of all callers' methods.
var refusal = Type("Refusal", func() {
	ErrorName("name", String, "Name of the error.")
	Attribute("refusal", refusalBody)
	Attribute("request_id", String, "Identity of the request.")
	Attribute("retry_after", Int, "Seconds after which to try again.")
	Required("name", "refusal", "request_id")
})

type errorStatus struct {
	name   string
	status int
}

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

func refusals() {
	for _, s := range statuses {
		Error(s.name, refusal)
	}
}

func refusalResponses() {
	for _, s := range statuses {
		Response(s.name, s.status, func() {
			Header("request_id:X-Request-Id")
			Header("retry_after:Retry-After")
		})
	}
}

func callHeaders() {
	APIKey("bearer", "key", String, "Key of the team.")
	Attribute("idempotency_key", String, "Makes a non-idempotent request run at most once.", func() {
		MaxLength(256)
	})
	Attribute("timeout", String, "Time within which the whole answer is wanted, such as 30s.")
	Attribute("traffic_priority", Int, "Added to the team's priority; lower runs first.", func() {
		Minimum(0)
		Maximum(9)
	})
}

func callHTTPHeaders() {
	Header("key:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("timeout:Request-Timeout")
	Header("traffic_priority:Request-Priority")
}

var answer = Type("Answer", func() {
	Attribute("request_id", String)
	Attribute("content_type", String)
	Required("request_id", "content_type")
})

func answerResponse() {
	Response(StatusOK, func() {
		Header("request_id:X-Request-Id")
		Header("content_type:Content-Type")
	})
}

var message = Type("Message", func() {
	Attribute("role", String, func() { MaxLength(64) })
	Attribute("content", String)
	Required("role", "content")
})

func sampling() {
	Attribute("model", String, "Name of a deployment.", func() { MaxLength(128) })
	Attribute("stream", Boolean, func() { Default(false) })
	Attribute("max_tokens", Int, func() {
		Minimum(1)
		Maximum(65536)
		Default(256)
	})
	Attribute("idempotent", Boolean, "False for work that must run at most once.", func() { Default(true) })
}

var _ = Service("callers", func() {
	Description("Serves callers.")
	Security(bearer)
	refusals()

	Method("chat", func() {
		Payload(func() {
			callHeaders()
			sampling()
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
			sampling()
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
		Description("Passes a call to a plain service.")
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
