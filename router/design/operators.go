package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa DSL is meant to be dot-imported.
)

// candidate is a backend server that was considered for a request.
var candidate = Type("Candidate", func() {
	Attribute("backend_server", String)
	Attribute("cost", String, "Estimated cost as a duration.")
	Attribute("wait", String, "Part of the cost that is waiting.")
	Attribute("cached_tokens", UInt32)
	Required("backend_server", "cost")
})

// attempt is an attempt to run a request on a backend server.
var attempt = Type("Attempt", func() {
	Attribute("backend_server", String)
	Attribute("result", String)
	Attribute("after", String, "Time since the request came.")
	Attribute("reason", String)
	Attribute("ran", String)
	Required("backend_server", "result")
})

// explanation is the decision about a request.
var explanation = Type("Explanation", func() {
	Attribute("request_id", String)
	Attribute("summary", String, "What happened, in plain words.")
	Attribute("text", String, "The summary and what the decision was made from.")
	Attribute("at", String, "When the request came.")
	Attribute("team", String)
	Attribute("deployment", String)
	Attribute("policy", String)
	Attribute("revision", UInt64, "Revision of the configuration in force.")
	Attribute("outcome", String)
	Attribute("reason", String)
	Attribute("ran", String)
	Attribute("detail", String)
	Attribute("prompt_tokens", UInt32)
	Attribute("cached_tokens", UInt32)
	Attribute("candidates", ArrayOf(candidate))
	Attribute("attempts", ArrayOf(attempt))
	Required("request_id", "summary", "text", "at", "team", "deployment", "revision", "outcome", "reason", "ran", "prompt_tokens", "cached_tokens")
})

// recordFile is a file with records to apply.
var recordFile = Type("RecordFile", func() {
	Attribute("name", String, "Name of the file, for messages.", func() { MaxLength(1024) })
	Attribute("content", String, "YAML documents.", func() { MaxLength(4 << 20) })
	Required("name", "content")
})

// recordChange is a record before and after a change.
var recordChange = Type("RecordChange", func() {
	Attribute("record", String, "Kind and name.")
	Attribute("before", String, "YAML documents that stood there; empty for a new record.")
	Attribute("after", String, "YAML documents that stand there; empty for a deleted record.")
	Required("record", "before", "after")
})

// applied is the result of a change.
var applied = Type("Applied", func() {
	Attribute("revision", UInt64, "Revision that holds the change; the current one when nothing changed or for a dry run.")
	Attribute("changes", ArrayOf(recordChange))
	Required("revision", "changes")
})

// heldRecord is a record in the configuration store.
var heldRecord = Type("HeldRecord", func() {
	Attribute("record", String, "Kind and name.")
	Attribute("schema_version", Int)
	Attribute("document", String, "The record as YAML.")
	Required("record", "schema_version", "document")
})

// heldRecords is a list of records at a revision.
var heldRecords = Type("HeldRecords", func() {
	Attribute("revision", UInt64)
	Attribute("records", ArrayOf(heldRecord))
	Required("revision", "records")
})

// auditEntry is the entry of one revision in the audit trail.
var auditEntry = Type("AuditEntry", func() {
	Attribute("revision", UInt64)
	Attribute("when", String)
	Attribute("who", String)
	Attribute("from", String, "Address that the change came from.")
	Attribute("reason", String)
	Attribute("changes", ArrayOf(recordChange))
	Attribute("digest", String)
	Required("revision", "when", "who", "from", "reason", "changes", "digest")
})

// auditEntries is a part of the audit trail.
var auditEntries = Type("AuditEntries", func() {
	Attribute("entries", ArrayOf(auditEntry), "In the order of their revisions.")
	Attribute("newest", UInt64, "The newest revision.")
	Required("entries", "newest")
})

// refusalList is a list of decisions about refused requests.
var refusalList = Type("Refusals", func() {
	Attribute("refusals", ArrayOf(explanation), "The newest first.")
	Attribute("complete", Boolean, "False when there may be more.")
	Required("refusals", "complete")
})

// routerStatus is the state of a router.
var routerStatus = Type("RouterStatus", func() {
	Attribute("name", String)
	Attribute("availability_zone", String)
	Attribute("incarnation", String)
	Attribute("ready", Boolean)
	Attribute("revision", UInt64)
	Attribute("age", String, "Time since the revision was known to be the newest.")
	Attribute("error", String, "Why the router did not answer.")
	Required("name", "availability_zone", "ready", "revision")
})

// backendServerStatus is the state of a backend server.
var backendServerStatus = Type("BackendServerStatus", func() {
	Attribute("name", String)
	Attribute("deployment", String)
	Attribute("availability_zone", String)
	Attribute("state", String)
	Attribute("running", UInt32)
	Attribute("queued", UInt32)
	Attribute("weights_version", String)
	Attribute("revision", UInt64, "Highest revision that its sidecar has seen.")
	Required("name", "deployment", "availability_zone", "state")
})

// fleetStatus is the state of all routers and backend servers.
var fleetStatus = Type("FleetStatus", func() {
	Attribute("revision", UInt64)
	Attribute("routers", ArrayOf(routerStatus))
	Attribute("backend_servers", ArrayOf(backendServerStatus))
	Attribute("explain_pending", Int, "Decisions not yet in the object store.")
	Attribute("explain_dropped", UInt64, "Decisions dropped because the object store did not take them.")
	Attribute("struck", Int, "Requests that were running when a backend server crashed; -1 when the table does not answer.")
	Attribute("quarantined", Int, "Those of them that run no more.")
	Required("revision", "routers", "backend_servers", "explain_pending", "explain_dropped", "struck", "quarantined")
})

// operatorKey declares the API key of the methods of the operators' API.
func operatorKey() {
	APIKey("bearer", "key", String, "Key of a team of operators.")
}

// suspect is a request that was running when a backend server crashed.
var suspect = Type("Suspect", func() {
	Attribute("fingerprint", String, "Identifies the request's team and content.")
	Attribute("team", String)
	Attribute("crashes", ArrayOf(String), "Backend servers that were lost, with their incarnations.")
	Attribute("quarantined", Boolean, "Whether the request runs no more.")
	Required("fingerprint", "team", "crashes", "quarantined")
})

// operatorChange declares the attributes of all methods that change records.
func operatorChange() {
	operatorKey()
	Attribute("operator", String, "Who makes the change.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("reason", String, "Why.", func() {
		MinLength(1)
		MaxLength(1000)
	})
	Attribute("token", String, "Identifies the change, so that it is applied once.", func() { MaxLength(64) })
	Attribute("base", UInt64, "Revision that the change was made on; 0 to write over what stands.", func() { Default(0) })
	Attribute("dry_run", Boolean, "Check only.", func() { Default(false) })
}

// operatorErrors declares the errors of the operators' API and their HTTP statuses.
func operatorErrors() {
	for _, name := range []string{"bad_request", "unauthorized", "forbidden", "not_found", "conflict", "tampered", "unavailable"} {
		Error(name)
	}
	HTTP(func() {
		Response("bad_request", StatusBadRequest)
		Response("unauthorized", StatusUnauthorized)
		Response("forbidden", StatusForbidden)
		Response("not_found", StatusNotFound)
		Response("conflict", StatusConflict)
		Response("tampered", StatusUnprocessableEntity)
		Response("unavailable", StatusServiceUnavailable)
	})
}

var _ = Service("operators", func() {
	Description("Serves operators.")
	Security(bearer)
	operatorErrors()

	Method("apply", func() {
		Description("Puts and deletes records, all or none.")
		Payload(func() {
			operatorChange()
			Attribute("files", ArrayOf(recordFile))
			Attribute("delete", ArrayOf(String), "Kinds and names of records.")
			Required("key", "operator", "reason")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/records")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("rollback", func() {
		Description("Brings back the records of an older revision as a new one.")
		Payload(func() {
			operatorChange()
			Attribute("revision", UInt64)
			Required("key", "operator", "reason", "revision")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/rollback")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Starts or ends the draining of a backend server by its record.")
		Payload(func() {
			operatorChange()
			Attribute("name", String)
			Attribute("undo", Boolean, "Let it take work again.", func() { Default(false) })
			Required("key", "operator", "reason", "name")
		})
		Result(applied)
		HTTP(func() {
			POST("/v1/backend-servers/{name}/drain")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("suspects", func() {
		Description("Lists requests that were running when a backend server crashed.")
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(ArrayOf(suspect))
		HTTP(func() {
			GET("/v1/suspects")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("lift", func() {
		Description("Drops the strikes of a request, so that it may run again.")
		Payload(func() {
			operatorKey()
			Attribute("fingerprint", String, func() { MaxLength(64) })
			Attribute("operator", String, "Who lifts it.", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("reason", String, "Why.", func() {
				MinLength(1)
				MaxLength(1000)
			})
			Required("key", "fingerprint", "operator", "reason")
		})
		HTTP(func() {
			POST("/v1/suspects/{fingerprint}/lift")
			Header("key:Authorization")
			Response(StatusNoContent)
		})
	})

	Method("records", func() {
		Payload(func() {
			operatorKey()
			Attribute("kind", String)
			Attribute("name", String)
			Attribute("revision", UInt64, "0 for the newest.", func() { Default(0) })
			Attribute("variants", Boolean, "Include records that stand beside those in force.", func() { Default(false) })
			Required("key")
		})
		Result(heldRecords)
		HTTP(func() {
			GET("/v1/records")
			Header("key:Authorization")
			Param("kind")
			Param("name")
			Param("revision")
			Param("variants")
			Response(StatusOK)
		})
	})

	Method("history", func() {
		Description("Returns the newest entries of the audit trail.")
		Payload(func() {
			operatorKey()
			Attribute("record", String, "Kind and name; empty for all.")
			Attribute("before", UInt64, "Only entries below the revision; 0 for the newest.", func() { Default(0) })
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
			Required("key")
		})
		Result(auditEntries)
		HTTP(func() {
			GET("/v1/history")
			Header("key:Authorization")
			Param("record")
			Param("before")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("verify", func() {
		Description("Checks that no entry of the audit trail is missing or edited.")
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(func() {
			Attribute("entries", Int)
			Required("entries")
		})
		HTTP(func() {
			GET("/v1/audit/verify")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Payload(func() {
			operatorKey()
			Attribute("id", String, "Identity of the request.")
			Required("key", "id")
		})
		Result(explanation)
		HTTP(func() {
			GET("/v1/explain/{id}")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("why_not", func() {
		Description("Returns refusals.")
		Payload(func() {
			operatorKey()
			Attribute("team", String)
			Attribute("deployment", String)
			Attribute("reason", String)
			Attribute("since", String, "Begin of the time, in RFC 3339; an hour ago when empty.")
			Attribute("until", String, "End of the time, in RFC 3339; now when empty.")
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
			Required("key")
		})
		Result(refusalList)
		HTTP(func() {
			GET("/v1/refusals")
			Header("key:Authorization")
			Param("team")
			Param("deployment")
			Param("reason")
			Param("since")
			Param("until")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Payload(func() {
			operatorKey()
			Required("key")
		})
		Result(fleetStatus)
		HTTP(func() {
			GET("/v1/status")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})
})
